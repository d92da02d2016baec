package org.guavagw.internal.cascade;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.CascadeConfig;

/**
 * Request for a cascade plan. Immutable.
 *
 * @param steps allowed steps with their chosen versions, cheapest first, at least one
 * @param idempotent whether the request may be executed more than once
 * @param remainingTime time until the deadline
 * @param remainingBudgetMicros amount that the team may still spend
 * @param draw uniform random number from 0 (inclusive) to 1 (exclusive) for randomised decisions
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
      throw new IllegalArgumentException("cascade query without steps");
    }
  }
}
