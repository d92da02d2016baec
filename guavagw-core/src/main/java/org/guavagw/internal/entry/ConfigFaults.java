package org.guavagw.internal.entry;

import java.util.List;
import org.guavagw.config.ConfigFault;
import org.guavagw.config.ConfigValidator;
import org.guavagw.internal.config.RevisionedConfig;

/** Words the faults of a configuration for operators, one line each. Stateless. */
final class ConfigFaults {
  private ConfigFaults() {}

  static List<String> of(RevisionedConfig wanted) {
    return ConfigValidator.faultsOf(wanted.config()).stream().map(ConfigFault::toString).toList();
  }
}
