package org.guavagw.internal.limits;

/** Smoothed rate at which requests end. Not thread-safe. */
final class DrainRate {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double windowNanos;
  private double weight;
  private long lastNanos;
  private boolean seen;

  DrainRate(double windowNanos) {
    this.windowNanos = windowNanos;
  }

  void onEnd(long nowNanos) {
    decay(nowNanos);
    weight += 1;
  }

  /** Ends per second, or 0 before anything ended. */
  double perSecond(long nowNanos) {
    decay(nowNanos);
    return weight / windowNanos * NANOS_PER_SECOND;
  }

  private void decay(long nowNanos) {
    if (!seen) {
      seen = true;
      lastNanos = nowNanos;
      return;
    }
    long passed = nowNanos - lastNanos;
    if (passed > 0) {
      weight *= Math.exp(-passed / windowNanos);
      lastNanos = nowNanos;
    }
  }
}
