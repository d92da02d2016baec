package org.guavagw.internal.rollout;

import java.time.Duration;
import java.util.OptionalDouble;
import org.guavagw.config.VersionRef;

/**
 * Outcome of one request on a version. Immutable.
 *
 * @param failed whether the backend server failed to give a complete answer
 * @param rating empty if no rating is available yet; a late rating is reported through {@link
 *     #rated}
 * @param countsAnswer whether the outcome counts as an answer; false for a late rating
 */
public record VersionOutcome(
    VersionRef version,
    String taskClass,
    boolean failed,
    Duration latency,
    OptionalDouble rating,
    boolean countsAnswer) {

  /** Returns the outcome of an answer or failure, with its rating if that is already available. */
  public static VersionOutcome answered(
      VersionRef version,
      String taskClass,
      boolean failed,
      Duration latency,
      OptionalDouble rating) {
    return new VersionOutcome(version, taskClass, failed, latency, rating, true);
  }

  /** Returns a late rating of an answer that was reported before. */
  public static VersionOutcome rated(VersionRef version, String taskClass, double rating) {
    return new VersionOutcome(
        version, taskClass, false, Duration.ZERO, OptionalDouble.of(rating), false);
  }
}
