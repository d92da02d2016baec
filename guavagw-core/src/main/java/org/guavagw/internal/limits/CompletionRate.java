package org.guavagw.internal.limits;

/** Exponentially smoothed rate at which requests complete. Not thread-safe. */
final class CompletionRate {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double windowNanos;
  private double weight;
  private long lastNanos;
  private boolean started;

  CompletionRate(double windowNanos) {
    this.windowNanos = windowNanos;
  }

  void onCompleted(long nowNanos) {
    decay(nowNanos);
    weight += 1;
  }

  /** Returns the completions per second, or 0 before the first one. */
  double perSecond(long nowNanos) {
    decay(nowNanos);
    return weight / windowNanos * NANOS_PER_SECOND;
  }

  private void decay(long nowNanos) {
    if (!started) {
      started = true;
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
