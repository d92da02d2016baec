package org.guavagw.cli.bench.policy;

import java.util.Set;
import org.guavagw.config.VersionRef;

/**
 * Deviation of a version from the usual behaviour of its model, starting at a time. Immutable.
 *
 * @param taskClasses affected task classes
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
