package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries of requests to a service in a sliding window.
 *
 * <p>Prevents retries from multiplying the load when answers get lost or backend servers fail. Each
 * entry stays within the limit for its own requests, so all entries together stay within the limit
 * without exchanging messages. Retries that only improve an answer leave a part of the limit to
 * requests that would fail without a retry. Not thread-safe.
 */
public final class RetryBudget {
  /** Part of the limit that retries may use up which only improve an answer. */
  private static final double IMPROVEMENT_SHARE = 0.74;

  private final double ratio;
  private final DoubleSupplier slack;
  private final long improvementSlackFromNanos;
  private final SlidingWindowCounter requests;
  private final SlidingWindowCounter retries;

  /**
   * Creates a budget.
   *
   * @param ratio allowed retries per request in the window
   * @param slack additional retries allowed in each window
   * @param startNanos monotonic time of the start of this process; it may have used up its slack
   *     before it restarted, so improvements get none in the first window
   */
  public RetryBudget(double ratio, DoubleSupplier slack, Duration window, long startNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.improvementSlackFromNanos = startNanos + window.toNanos();
    this.requests = new SlidingWindowCounter(window);
    this.retries = new SlidingWindowCounter(window);
  }

  /** Counts a request at its first attempt. */
  public void onRequest(long nowNanos) {
    requests.add(nowNanos);
  }

  /** Returns whether the budget allows another retry. */
  public boolean allowsRetry(long nowNanos) {
    return retries.sum(nowNanos) + 1 <= limit(nowNanos, slack.getAsDouble());
  }

  private double limit(long nowNanos, double available) {
    return ratio * requests.sum(nowNanos) + available;
  }

  /** Counts a retry if the budget allows it and returns whether it does. */
  public boolean tryRetry(long nowNanos) {
    return count(allowsRetry(nowNanos), nowNanos);
  }

  /**
   * Counts a retry that improves an answer which could be used as it is, if the budget allows it,
   * and returns whether it does.
   */
  public boolean tryImprovement(long nowNanos) {
    double available = nowNanos - improvementSlackFromNanos < 0 ? 0 : slack.getAsDouble();
    double limit = IMPROVEMENT_SHARE * limit(nowNanos, available);
    return count(retries.sum(nowNanos) + 1 <= limit, nowNanos);
  }

  private boolean count(boolean allowed, long nowNanos) {
    if (allowed) {
      retries.add(nowNanos);
    }
    return allowed;
  }
}
