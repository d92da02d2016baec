package org.guavagw.internal.cascade;

import java.util.List;

/**
 * Policy computed for a cascade. Thread-safe; immutable except for its caches of tables.
 *
 * @param price price of quality when ratings arrive in time
 * @param rated tables for requests whose answers are rated in time
 * @param unrated tables for requests whose answers are not rated in time
 * @param ratingCount number of ratings that the policy is based on
 * @param plannedBefore number of requests of the task class before the policy was computed
 */
record CascadePolicy(
    List<StepModel> models,
    QualityPrice price,
    CascadeTableCache rated,
    CascadeTableCache unrated,
    long ratingCount,
    long plannedBefore) {

  /** Returns whether an engine's confidence allows conclusions about its answers. */
  boolean hasSignals() {
    return models.stream().anyMatch(m -> m.signals().isKnown());
  }

  /** Returns the tables for a state of the rating service. */
  CascadeTableCache tables(RatingState ratings) {
    return ratings == RatingState.AVAILABLE ? rated : unrated;
  }
}
