package org.guavagw.internal.limits;

/**
 * Adaptive limit on what one entry has in flight at one backend server or pool.
 *
 * <p>The limit rises slowly while answers begin as fast as the best seen lately, falls by the ratio
 * when they begin later, and falls at once on a refusal. It stays between 1 and its maximum.
 * Thread-safe.
 */
public final class ConcurrencyLimiter {
  private static final double TOLERANCE = 2.0;
  private static final double REFUSAL_FACTOR = 0.8;
  private static final double MIN_GRADIENT = 0.7;
  private static final double SHORT_WEIGHT = 0.1;
  private static final double BASELINE_WEIGHT = 0.002;

  private final int max;
  private double limit;
  private int inFlight;
  private double shortNanos;
  private double baselineNanos;

  /** A limiter that begins at {@code initial}. */
  public ConcurrencyLimiter(int initial, int max) {
    this.max = Math.max(1, max);
    this.limit = Math.min(Math.max(1, initial), this.max);
  }

  /** Requests that may be in flight now. */
  public synchronized int limit() {
    return (int) limit;
  }

  /** Requests that are in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Whether one more fits. */
  public synchronized boolean hasRoom() {
    return inFlight < (int) limit;
  }

  /** Counts a dispatch, whether or not it fits. */
  public synchronized void onDispatched() {
    inFlight++;
  }

  /** Counts the end of a dispatch and learns from it. */
  public synchronized void onFinished(Outcome outcome) {
    boolean used = inFlight * 2 >= (int) limit;
    inFlight = Math.max(0, inFlight - 1);
    switch (outcome.kind()) {
      case COMPLETED -> learn(outcome.firstByteNanos(), used);
      case REFUSED, UNREACHABLE -> limit = Math.max(1, limit * REFUSAL_FACTOR);
      default -> {
        // says nothing about load
      }
    }
  }

  private void learn(long firstByteNanos, boolean used) {
    double sample = Math.max(1, firstByteNanos);
    shortNanos = shortNanos == 0 ? sample : shortNanos + SHORT_WEIGHT * (sample - shortNanos);
    baselineNanos =
        baselineNanos == 0 || shortNanos < baselineNanos
            ? shortNanos
            : baselineNanos + BASELINE_WEIGHT * (shortNanos - baselineNanos);
    double gradient = Math.min(1, Math.max(MIN_GRADIENT, TOLERANCE * baselineNanos / shortNanos));
    double target = gradient < 1 ? limit * gradient : limit + (used ? 1 : 0);
    limit = Math.min(max, Math.max(1, limit + SHORT_WEIGHT * (target - limit)));
  }
}
