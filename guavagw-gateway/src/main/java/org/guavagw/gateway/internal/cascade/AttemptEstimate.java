package org.guavagw.gateway.internal.cascade;

/**
 * The estimated latency of a further attempt against its latency objective. Immutable.
 *
 * @param expectedMillis expected time to its first event
 * @param remainingMillis time left within the latency objective; negative once it is exceeded
 */
public record AttemptEstimate(double expectedMillis, double remainingMillis) {
  /** Returns the share of the remaining time that the attempt takes; very large if none remains. */
  double remainingTimeShare() {
    return remainingMillis <= 0 ? Double.MAX_VALUE : expectedMillis / remainingMillis;
  }
}
