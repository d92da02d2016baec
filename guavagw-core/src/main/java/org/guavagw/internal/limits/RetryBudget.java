package org.guavagw.internal.limits;

/**
 * Bounds retries to a fraction of first attempts, so that an outage is not multiplied. Thread-safe.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAX_SAVED_RETRIES = 10;

  private final TokenBudget budget = new TokenBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);

  /** Counts a first attempt. */
  public void onFirstAttempt() {
    budget.earn();
  }

  /** Takes leave for one retry, if there is any. */
  public boolean tryRetry() {
    return budget.trySpend();
  }
}
