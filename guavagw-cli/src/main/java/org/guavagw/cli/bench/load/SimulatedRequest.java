package org.guavagw.cli.bench.load;

import org.guavagw.internal.limits.RequestClass;

/** A request of a simulated caller. Immutable. */
record SimulatedRequest(
    long id,
    String team,
    RequestClass requestClass,
    String dataCentre,
    int promptTokens,
    int outputTokens,
    long prefixHash,
    long arrivedNanos,
    long deadlineNanos) {
  private static final double LONG_COST = 20;

  /** Returns the expected work relative to an interactive request. */
  double cost() {
    return requestClass == RequestClass.INTERACTIVE ? 1 : LONG_COST;
  }
}
