package org.guavagw.internal.rollout;

import java.time.Duration;
import java.util.OptionalDouble;
import org.guavagw.config.VersionRef;

/**
 * How a version did on one request. Immutable.
 *
 * @param failed whether the engine failed to give a whole answer
 * @param rating empty where no rating came; a rating that comes late is reported as {@link #rated}
 */
public record VersionOutcome(
    VersionRef version,
    String taskClass,
    boolean failed,
    Duration latency,
    OptionalDouble rating,
    boolean countsAnswer) {

  /** An answer or failure as it is known at once. */
  public static VersionOutcome answered(
      VersionRef version,
      String taskClass,
      boolean failed,
      Duration latency,
      OptionalDouble rating) {
    return new VersionOutcome(version, taskClass, failed, latency, rating, true);
  }

  /** A rating that came after the answer was reported. */
  public static VersionOutcome rated(VersionRef version, String taskClass, double rating) {
    return new VersionOutcome(
        version, taskClass, false, Duration.ZERO, OptionalDouble.of(rating), false);
  }
}
