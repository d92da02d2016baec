package org.guavagw.cli.bench.policy;

import java.util.Set;
import org.guavagw.config.VersionRef;

/** Kinds of faults of a bad version. */
enum VersionFaultKind {
  /** Clearly lower quality on all task classes. */
  WORSE_EVERYWHERE("everywhere"),
  /** Much lower quality, but only on the rarest task class. */
  WORSE_ON_ONE_CLASS("one-class"),
  /** One request in eight fails. */
  FAILING("failing");

  private final String label;

  VersionFaultKind(String label) {
    this.label = label;
  }

  /** Returns the suffix of the names of measured values. */
  String label() {
    return label;
  }

  VersionFault faultFor(WorkloadProfile workload, VersionRef version, double fromSeconds) {
    Set<String> all = RolloutSetup.allClasses(workload);
    String rarest = workload.classes().get(workload.classes().size() - 1).name();
    return switch (this) {
      case WORSE_EVERYWHERE -> new VersionFault(version, all, -1.5, 0, 1, fromSeconds);
      case WORSE_ON_ONE_CLASS -> new VersionFault(version, Set.of(rarest), -2.5, 0, 1, fromSeconds);
      case FAILING -> new VersionFault(version, all, 0, 0.125, 1, fromSeconds);
    };
  }
}
