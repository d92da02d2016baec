package org.guavagw.internal.pipeline;

import java.util.ArrayList;
import java.util.List;

/** Sums the costs of the attempts of one request. Confined to the request's thread. */
public final class RequestCost {
  private final List<AttemptCost> attemptCosts = new ArrayList<>();

  /** Adds the cost of one attempt. */
  public void add(AttemptCost cost) {
    attemptCosts.add(cost);
  }

  /** Returns the cost of all attempts in micro-units of currency. */
  public long totalMicros() {
    return attemptCosts.stream().mapToLong(AttemptCost::costMicros).sum();
  }

  /** Returns the cost of each attempt, in order. */
  public List<AttemptCost> attemptCosts() {
    return List.copyOf(attemptCosts);
  }
}
