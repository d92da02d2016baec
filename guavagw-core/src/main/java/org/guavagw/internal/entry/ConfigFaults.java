package org.guavagw.internal.entry;

import java.util.List;
import org.guavagw.config.ConfigFault;
import org.guavagw.config.ConfigValidator;
import org.guavagw.internal.config.RevisionedConfig;

/** Formats the faults of a configuration for operators, one line each. Stateless. */
final class ConfigFaults {
  private ConfigFaults() {}

  static List<String> format(RevisionedConfig config) {
    return ConfigValidator.faultsOf(config.config()).stream().map(ConfigFault::toString).toList();
  }
}
