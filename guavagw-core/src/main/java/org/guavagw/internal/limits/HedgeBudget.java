package org.guavagw.internal.limits;

/**
 * Limits hedged requests to a small fraction of all requests, and to idempotent interactive ones.
 * Thread-safe.
 */
public final class HedgeBudget {
  private static final double HEDGES_PER_REQUEST = 0.02;
  private static final double MAX_SAVED_HEDGES = 5;

  private final ExtraAttemptBudget budget =
      new ExtraAttemptBudget(HEDGES_PER_REQUEST, MAX_SAVED_HEDGES);

  /** Records a request that could be hedged. */
  public void onRequest() {
    budget.earn();
  }

  /** Takes one hedge from the budget, if the request is eligible and the budget allows it. */
  public boolean tryHedge(boolean idempotent, RequestClass requestClass) {
    boolean eligible = idempotent && requestClass == RequestClass.INTERACTIVE;
    return eligible && budget.trySpend();
  }
}
