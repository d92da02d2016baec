package org.guavagw.internal.limits;

/**
 * Bounds second copies of slow requests to a small fraction of all, and to repeatable interactive
 * work. Thread-safe.
 */
public final class HedgeBudget {
  private static final double HEDGES_PER_REQUEST = 0.02;
  private static final double MAX_SAVED_HEDGES = 5;

  private final TokenBudget budget = new TokenBudget(HEDGES_PER_REQUEST, MAX_SAVED_HEDGES);

  /** Counts a request that might be hedged. */
  public void onRequest() {
    budget.earn();
  }

  /** Takes leave for one second copy, if the work is fit for it and the budget has any left. */
  public boolean tryHedge(boolean repeatable, RequestClass requestClass) {
    boolean fit = repeatable && requestClass == RequestClass.INTERACTIVE;
    return fit && budget.trySpend();
  }
}
