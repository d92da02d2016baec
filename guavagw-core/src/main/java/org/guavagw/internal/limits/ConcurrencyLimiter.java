package org.guavagw.internal.limits;

/**
 * Adaptive limit on this entry's requests in flight at one backend server.
 *
 * <p>The limit increases slowly while the time to the first byte is close to the recent minimum,
 * decreases in proportion when the time grows, and decreases at once on a refusal or connection
 * failure. It stays between 1 and its maximum. Thread-safe.
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

  /** Creates a limiter that starts at {@code initial}. */
  public ConcurrencyLimiter(int initial, int max) {
    this.max = Math.max(1, max);
    this.limit = Math.min(Math.max(1, initial), this.max);
  }

  /** Returns the current limit on requests in flight. */
  public synchronized int limit() {
    return (int) limit;
  }

  /** Returns the number of requests in flight. */
  public synchronized int inFlight() {
    return inFlight;
  }

  /** Returns whether one more request fits within the limit. */
  public synchronized boolean hasCapacity() {
    return inFlight < (int) limit;
  }

  /** Records that a request is sent, even if that exceeds the limit. */
  public synchronized void onDispatched() {
    inFlight++;
  }

  /** Records the end of a request and adjusts the limit. */
  public synchronized void onFinished(AttemptOutcome outcome) {
    boolean wellUsed = inFlight * 2 >= (int) limit;
    inFlight = Math.max(0, inFlight - 1);
    switch (outcome.kind()) {
      case COMPLETED -> updateLimit(outcome.firstByteNanos(), wellUsed);
      case REFUSED, UNREACHABLE -> limit = Math.max(1, limit * REFUSAL_FACTOR);
      default -> {
        // does not tell how loaded the backend server is
      }
    }
  }

  private void updateLimit(long firstByteNanos, boolean wellUsed) {
    double sample = Math.max(1, firstByteNanos);
    shortNanos = shortNanos == 0 ? sample : shortNanos + SHORT_WEIGHT * (sample - shortNanos);
    baselineNanos =
        baselineNanos == 0 || shortNanos < baselineNanos
            ? shortNanos
            : baselineNanos + BASELINE_WEIGHT * (shortNanos - baselineNanos);
    double gradient = Math.min(1, Math.max(MIN_GRADIENT, TOLERANCE * baselineNanos / shortNanos));
    double target = gradient < 1 ? limit * gradient : limit + (wellUsed ? 1 : 0);
    limit = Math.min(max, Math.max(1, limit + SHORT_WEIGHT * (target - limit)));
  }
}
