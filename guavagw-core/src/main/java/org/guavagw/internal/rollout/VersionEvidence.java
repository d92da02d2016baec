package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/**
 * Sums over the outcomes of one version on one task class. Immutable and mergeable.
 *
 * @param failures answers that failed
 * @param slow answers that took longer than the limit of their task class
 * @param ratings one trial for each rating, bad by what the rating lacks to 1
 * @param poor ratings below the limit of a poor answer
 */
public record VersionEvidence(
    VersionRef version, String taskClass, Tally failures, Tally slow, Tally ratings, Tally poor) {

  /** No evidence. */
  public static VersionEvidence none(VersionRef version, String taskClass) {
    return new VersionEvidence(version, taskClass, Tally.NONE, Tally.NONE, Tally.NONE, Tally.NONE);
  }

  /** Evidence of both, which are of the same version and task class. */
  public VersionEvidence plus(VersionEvidence other) {
    return new VersionEvidence(
        version,
        taskClass,
        failures.plus(other.failures),
        slow.plus(other.slow),
        ratings.plus(other.ratings),
        poor.plus(other.poor));
  }
}
