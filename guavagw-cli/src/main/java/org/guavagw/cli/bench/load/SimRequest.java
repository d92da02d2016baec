package org.guavagw.cli.bench.load;

import org.guavagw.internal.limits.RequestClass;

/** A request as its caller made it. Immutable. */
record SimRequest(
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

  /** Expected work relative to an ordinary interactive request. */
  double cost() {
    return requestClass == RequestClass.INTERACTIVE ? 1 : LONG_COST;
  }
}
