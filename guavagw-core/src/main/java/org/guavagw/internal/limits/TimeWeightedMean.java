package org.guavagw.internal.limits;

import java.time.Duration;

/**
 * Mean of a quantity over the time since its first value, with exponentially fading weight. Not
 * thread-safe.
 */
final class TimeWeightedMean {
  private final double windowNanos;
  private double weightedSum;
  private double weight;
  private double value;
  private long lastNanos;

  TimeWeightedMean(Duration window) {
    this.windowNanos = window.toNanos();
  }

  /** Says that the quantity has this value from now on. */
  void set(double next, long nowNanos) {
    fade(nowNanos);
    value = next;
  }

  /** The mean, or 0 before any time has passed. */
  double mean(long nowNanos) {
    fade(nowNanos);
    return weight == 0 ? 0 : weightedSum / weight;
  }

  private void fade(long nowNanos) {
    double kept = Math.exp(-Math.max(0, nowNanos - lastNanos) / windowNanos);
    boolean first = weight == 0 && weightedSum == 0 && value == 0;
    lastNanos = nowNanos;
    if (first) {
      return;
    }
    weightedSum = weightedSum * kept + value * (1 - kept);
    weight = weight * kept + (1 - kept);
  }
}
