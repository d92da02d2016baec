package org.guavagw.internal.limits;

import java.time.Duration;

/**
 * Mean of a quantity over the time since its first value, with exponentially decaying weight. Not
 * thread-safe.
 */
public final class TimeWeightedMean {
  private final double windowNanos;
  private double weightedSum;
  private double weight;
  private double value;
  private long lastNanos;

  /** Creates a mean whose older values decay with this time constant. */
  public TimeWeightedMean(Duration window) {
    this.windowNanos = window.toNanos();
  }

  /** Sets the value of the quantity from now on. */
  public void set(double next, long nowNanos) {
    decay(nowNanos);
    value = next;
  }

  /** Returns the mean, or 0 if no time has passed. */
  public double mean(long nowNanos) {
    decay(nowNanos);
    return weight == 0 ? 0 : weightedSum / weight;
  }

  private void decay(long nowNanos) {
    double retained = Math.exp(-Math.max(0, nowNanos - lastNanos) / windowNanos);
    boolean first = weight == 0 && weightedSum == 0 && value == 0;
    lastNanos = nowNanos;
    if (first) {
      return;
    }
    weightedSum = weightedSum * retained + value * (1 - retained);
    weight = weight * retained + (1 - retained);
  }
}
