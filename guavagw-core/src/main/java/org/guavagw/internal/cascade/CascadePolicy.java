package org.guavagw.internal.cascade;

import java.util.List;

/**
 * What was last worked out for a cascade. Thread-safe; never changes but for its memos.
 *
 * @param price price of quality where ratings come in time
 * @param rated tables for requests whose answers are rated in time
 * @param unrated tables for requests whose answers are not
 * @param observed number of ratings that it rests on
 * @param planned number of requests of the task class before it
 */
record CascadePolicy(
    List<StepModel> models,
    QualityPrice price,
    TableMemo rated,
    TableMemo unrated,
    long observed,
    long planned) {

  /** Whether an engine's signal says something of the answers. */
  boolean hasSignals() {
    return models.stream().anyMatch(m -> m.signals().isKnown());
  }

  /** Tables for a state of the rating service. */
  TableMemo tables(RatingState ratings) {
    return ratings == RatingState.AVAILABLE ? rated : unrated;
  }
}
