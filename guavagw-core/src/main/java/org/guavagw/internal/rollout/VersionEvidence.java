package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/**
 * Sums over the outcomes of one version on one task class. Immutable and mergeable.
 *
 * @param errors answers that failed
 * @param slow answers that took longer than the limit of their task class
 * @param ratings one trial for each rating, bad by what the rating lacks to 1
 * @param poor ratings below the limit of a poor answer
 */
public record VersionEvidence(
    VersionRef version, String taskClass, Tally errors, Tally slow, Tally ratings, Tally poor) {

  /** No evidence. */
  public static VersionEvidence none(VersionRef version, String taskClass) {
    return new VersionEvidence(version, taskClass, Tally.NONE, Tally.NONE, Tally.NONE, Tally.NONE);
  }

  /** Evidence of both; keeps the version and task class of this. */
  public VersionEvidence plus(VersionEvidence other) {
    return new VersionEvidence(
        version,
        taskClass,
        errors.plus(other.errors),
        slow.plus(other.slow),
        ratings.plus(other.ratings),
        poor.plus(other.poor));
  }

  /** Evidence of this that is not in the earlier sums. */
  public VersionEvidence minus(VersionEvidence earlier) {
    return new VersionEvidence(
        version,
        taskClass,
        errors.minus(earlier.errors),
        slow.minus(earlier.slow),
        ratings.minus(earlier.ratings),
        poor.minus(earlier.poor));
  }

  /** The same evidence at another weight. */
  public VersionEvidence scaled(double factor) {
    return new VersionEvidence(
        version,
        taskClass,
        errors.scaled(factor),
        slow.scaled(factor),
        ratings.scaled(factor),
        poor.scaled(factor));
  }
}
