package org.guavagw.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

/**
 * Finds all faults of a configuration: unknown references, duplicates and values out of range. A
 * model without a serving version is not a fault, so that its last one can be withdrawn. Stateless.
 */
public final class ConfigValidator {
  private ConfigValidator() {}

  /** Returns all faults, violations of the schema first; empty if the configuration is valid. */
  public static List<ConfigFault> faultsOf(GatewayConfig config) {
    return faultsOf(ConfigJson.tree(config), config);
  }

  static List<ConfigFault> faultsOf(JsonNode document, GatewayConfig config) {
    List<ConfigFault> schemaViolations = ConfigSchema.faultsOf(document);
    return hasNull(document) ? schemaViolations : merge(schemaViolations, ruleViolations(config));
  }

  private static boolean hasNull(JsonNode node) {
    return node.isNull()
        || StreamSupport.stream(node.spliterator(), false).anyMatch(ConfigValidator::hasNull);
  }

  private static List<ConfigFault> ruleViolations(GatewayConfig config) {
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
