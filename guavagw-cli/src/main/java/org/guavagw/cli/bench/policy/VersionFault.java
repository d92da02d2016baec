package org.guavagw.cli.bench.policy;

import java.util.Set;
import org.guavagw.config.VersionRef;

/**
 * How a version differs from what its model does otherwise, from a time on. Immutable.
 *
 * @param taskClasses affected classes
 */
record VersionFault(
    VersionRef version,
    Set<String> taskClasses,
    double skillChange,
    double errorChance,
    double latencyFactor,
    double fromSeconds) {
  VersionFault {
    taskClasses = Set.copyOf(taskClasses);
  }

  boolean affects(VersionRef ref, BenchRequest request) {
    return version.equals(ref)
        && taskClasses.contains(request.taskClass().name())
        && request.atSeconds() >= fromSeconds;
  }
}
