package org.guavagw.internal.limits;

/** Exponentially smoothed rate at which events occur. Not thread-safe. */
public final class EventRate {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double windowNanos;
  private double weight;
  private long lastNanos;
  private boolean started;

  /** Creates a rate that weighs an event of one window ago with 1/e. */
  public EventRate(double windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Counts an event. */
  public void onEvent(long nowNanos) {
    onEvent(1, nowNanos);
  }

  /** Counts an event with a weight. */
  public void onEvent(double eventWeight, long nowNanos) {
    decay(nowNanos);
    weight += eventWeight;
  }

  /** Returns the events per second, or 0 before the first one. */
  public double perSecond(long nowNanos) {
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
