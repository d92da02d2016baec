package org.guavagw.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * Finds every fault of a configuration: broken references, duplicates, and values out of range.
 * Withdrawing the last serving version of a model is not a fault. Stateless.
 */
public final class ConfigValidator {
  private ConfigValidator() {}

  /** All faults, first those against the schema; empty if the configuration is sound. */
  public static List<ConfigFault> faultsOf(GatewayConfig config) {
    return faultsOf(ConfigJson.tree(config), config);
  }

  static List<ConfigFault> faultsOf(JsonNode document, GatewayConfig config) {
    List<ConfigFault> broken = ConfigSchema.faultsOf(document);
    return hasNull(document) ? broken : merge(broken, brokenRules(config));
  }

  private static boolean hasNull(JsonNode node) {
    return node.isNull()
        || StreamSupport.stream(node.spliterator(), false).anyMatch(ConfigValidator::hasNull);
  }

  private static List<ConfigFault> brokenRules(GatewayConfig config) {
    FaultCollector faults = new FaultCollector();
    ModelChecks.check(config, faults);
    ServerChecks.check(config, faults);
    TeamChecks.check(config, faults);
    RolloutChecks.check(config, faults);
    return faults.all();
  }

  private static List<ConfigFault> merge(List<ConfigFault> first, List<ConfigFault> second) {
    Set<String> paths = first.stream().map(ConfigFault::path).collect(Collectors.toSet());
    Stream<ConfigFault> others = second.stream().filter(f -> !paths.contains(f.path()));
    return Stream.concat(first.stream(), others).toList();
  }
}
