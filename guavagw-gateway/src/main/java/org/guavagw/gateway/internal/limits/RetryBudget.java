package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries of requests to a service in a sliding window.
 *
 * <p>Prevents retries from multiplying the load when answers get lost or backend servers fail. Each
 * entry stays within the limit for its own requests, so all entries together stay within the limit
 * without exchanging messages. Not thread-safe.
 */
public final class RetryBudget {
  private final double ratio;
  private final DoubleSupplier slack;
  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter retries;

  /**
   * Creates a budget.
   *
   * @param ratio allowed retries per request in the window
   * @param slack additional retries allowed in each window
   */
  public RetryBudget(double ratio, DoubleSupplier slack, Duration window) {
    this.ratio = ratio;
    this.slack = slack;
    this.requests = new SlidingWindowCounter(window);
    this.retries = new SlidingWindowCounter(window);
  }

  /** Counts a request at its first attempt. */
  public void onRequest(long nowNanos) {
    requests.add(nowNanos);
  }

  /** Returns whether the budget allows another retry. */
  public boolean allowsRetry(long nowNanos) {
    return retries.sum(nowNanos) + 1 <= ratio * requests.sum(nowNanos) + slack.getAsDouble();
  }

  /** Counts a retry if the budget allows it and returns whether it does. */
  public boolean tryRetry(long nowNanos) {
    boolean allowed = allowsRetry(nowNanos);
    if (allowed) {
      retries.add(nowNanos);
    }
    return allowed;
  }
}
