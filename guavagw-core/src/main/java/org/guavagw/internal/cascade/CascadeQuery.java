package org.guavagw.internal.cascade;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.CascadeConfig;

/**
 * A request that asks for a cascade. Immutable.
 *
 * @param steps allowed steps with their chosen versions, cheapest first, at least one
 * @param idempotent whether a second execution does no harm
 * @param remainingTime time until the deadline
 * @param remainingBudgetMicros what the team may still spend
 * @param draw a uniform number from 0 (inclusive) to 1 that decides on exploration
 */
public record CascadeQuery(
    String team,
    CascadeConfig cascade,
    List<CascadeStep> steps,
    boolean idempotent,
    Duration remainingTime,
    long remainingBudgetMicros,
    RatingState ratings,
    double draw) {
  public CascadeQuery {
    steps = List.copyOf(steps);
    if (steps.isEmpty()) {
      throw new IllegalArgumentException("a cascade needs a step");
    }
  }
}
