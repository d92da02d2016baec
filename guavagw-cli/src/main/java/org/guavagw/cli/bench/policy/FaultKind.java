package org.guavagw.cli.bench.policy;

import java.util.Set;
import org.guavagw.config.VersionRef;

/** The ways in which a version is bad. */
enum FaultKind {
  /** Clearly worse on every task class. */
  WORSE_EVERYWHERE("everywhere"),
  /** Much worse on the rarest task class only. */
  WORSE_ON_ONE_CLASS("one-class"),
  /** Fails one request in eight. */
  FAILING("failing");

  private final String label;

  FaultKind(String label) {
    this.label = label;
  }

  /** Name in figures. */
  String label() {
    return label;
  }

  VersionFault of(Workload workload, VersionRef version, double fromSeconds) {
    Set<String> all = RolloutSetup.allClasses(workload);
    String rarest = workload.classes().get(workload.classes().size() - 1).name();
    return switch (this) {
      case WORSE_EVERYWHERE -> new VersionFault(version, all, -1.5, 0, 1, fromSeconds);
      case WORSE_ON_ONE_CLASS -> new VersionFault(version, Set.of(rarest), -2.5, 0, 1, fromSeconds);
      case FAILING -> new VersionFault(version, all, 0, 0.125, 1, fromSeconds);
    };
  }
}
