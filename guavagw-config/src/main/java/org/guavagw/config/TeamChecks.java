package org.guavagw.config;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Checks teams. Stateless. */
final class TeamChecks {
  private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

  private final GatewayConfig config;
  private final FaultCollector faults;
  private final Set<String> taskClasses;
  private final Set<String> services;
  private final Set<String> keyHashes = new HashSet<>();

  private TeamChecks(GatewayConfig config, FaultCollector faults) {
    this.config = config;
    this.faults = faults;
    this.taskClasses =
        config.cascades().stream().map(CascadeConfig::taskClass).collect(Collectors.toSet());
    this.services =
        config.plainServices().stream().map(PlainServiceConfig::id).collect(Collectors.toSet());
  }

  static void check(GatewayConfig config, FaultCollector faults) {
    TeamChecks checks = new TeamChecks(config, faults);
    faults.requireDistinct("$.teams", ".id", config.teams(), TeamConfig::id);
    for (int i = 0; i < config.teams().size(); i++) {
      checks.checkTeam("$.teams[" + i + "]", config.teams().get(i));
    }
  }

  private void checkTeam(String path, TeamConfig team) {
    faults.requireName(path + ".id", team.id());
    checkKeys(path + ".keyHashes", team.keyHashes());
    checkAllowances(path + ".allowances", team.allowances());
    checkNames(path + ".cascades", "cascade", team.cascades(), taskClasses);
    checkNames(path + ".plainServices", "plain service", team.plainServices(), services);
    faults.requireNotNegative(path + ".budget.microsPerDay", team.budget().microsPerDay());
    LimitConfig limits = team.limits();
    faults.requirePositive(path + ".limits.maxConcurrentRequests", limits.maxConcurrentRequests());
    faults.requirePositive(path + ".limits.fairShareWeight", limits.fairShareWeight());
  }

  private void checkKeys(String path, List<String> hashes) {
    for (int i = 0; i < hashes.size(); i++) {
      String at = path + "[" + i + "]";
      if (!SHA256_HEX.matcher(hashes.get(i)).matches()) {
        faults.add(at, "is not a SHA-256 hash in lower-case hex", "use 64 digits of 0-9 and a-f");
      }
      if (!keyHashes.add(hashes.get(i))) {
        faults.add(at, "the key hash occurs more than once", "use each key once, for one team");
      }
    }
  }

  private void checkAllowances(String path, List<AllowanceConfig> allowances) {
    faults.requireDistinct(path, ".model", allowances, AllowanceConfig::model);
    for (int i = 0; i < allowances.size(); i++) {
      AllowanceConfig allowance = allowances.get(i);
      String at = path + "[" + i + "]";
      Optional<ModelConfig> model = config.model(allowance.model());
      if (model.isEmpty()) {
        faults.requireKnown(at + ".model", "model", allowance.model(), Set.of());
        continue;
      }
      Set<String> versions =
          model.get().versions().stream().map(VersionConfig::id).collect(Collectors.toSet());
      checkNames(at + ".versions", "version", allowance.versions(), versions);
    }
  }

  private void checkNames(String path, String kind, List<String> names, Set<String> known) {
    faults.requireDistinct(path, "", names, n -> n);
    for (int i = 0; i < names.size(); i++) {
      faults.requireKnown(path + "[" + i + "]", kind, names.get(i), known);
    }
  }
}
