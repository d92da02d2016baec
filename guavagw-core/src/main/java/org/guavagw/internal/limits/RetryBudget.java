package org.guavagw.internal.limits;

/**
 * Limits retries to a fraction of first attempts, so that retries do not amplify an outage.
 * Thread-safe.
 */
public final class RetryBudget {
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAX_SAVED_RETRIES = 10;

  private final ExtraAttemptBudget budget =
      new ExtraAttemptBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES);

  /** Records a first attempt. */
  public void onFirstAttempt() {
    budget.earn();
  }

  /** Takes one retry from the budget, if any is left. */
  public boolean tryRetry() {
    return budget.trySpend();
  }
}
