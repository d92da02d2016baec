package org.guavagw.internal.rollout;

import org.guavagw.config.VersionRef;

/**
 * Sums over the outcomes of one version on one task class. Immutable.
 *
 * @param errors one trial for each answer, bad if it failed
 * @param slow one trial for each complete answer, bad if it was slower than the limit of its task
 *     class
 * @param ratings one trial for each rating, with badness 1 - rating
 * @param poor one trial for each rating, bad if it is below the limit of a poor answer
 */
public record VersionEvidence(
    VersionRef version, String taskClass, Tally errors, Tally slow, Tally ratings, Tally poor) {

  /** Returns evidence without trials. */
  public static VersionEvidence none(VersionRef version, String taskClass) {
    return new VersionEvidence(version, taskClass, Tally.NONE, Tally.NONE, Tally.NONE, Tally.NONE);
  }

  /** Returns the sum of both, with the version and task class of this one. */
  public VersionEvidence plus(VersionEvidence other) {
    return new VersionEvidence(
        version,
        taskClass,
        errors.plus(other.errors),
        slow.plus(other.slow),
        ratings.plus(other.ratings),
        poor.plus(other.poor));
  }

  /** Returns the evidence added since the earlier sums. */
  public VersionEvidence minus(VersionEvidence earlier) {
    return new VersionEvidence(
        version,
        taskClass,
        errors.minus(earlier.errors),
        slow.minus(earlier.slow),
        ratings.minus(earlier.ratings),
        poor.minus(earlier.poor));
  }

  /** Returns this evidence with its trials weighted by a factor. */
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
