package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Decides when a refused caller should return: as soon as its request is expected to be served, and
 * spread over the time that it can wait if more requests arrive than are served. Stateless except
 * for its source of random numbers.
 */
final class RetryAfterPolicy {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A caller that returns sooner than this meets the same state. */
  private static final double MIN_NANOS = 50 * NANOS_PER_MILLI;

  /** Callers wait up to this part of the time that they have left. */
  private static final int WAIT_DIVISOR = 3;

  /** Smallest part of the callers' time over which they are spread. */
  private static final double MIN_SPREAD = 0.1;

  private final DoubleSupplier random;

  /** Creates a policy with a source of numbers from 0 to 1. */
  RetryAfterPolicy(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Returns the delay for a refused caller.
   *
   * @param excessWaitNanos by how much the expected wait exceeds what the request can wait
   * @param overload arrivals relative to what is served, minus 1; not above 0 if all are served
   * @param leftNanos time to the caller's deadline
   */
  Duration delay(double excessWaitNanos, double overload, long leftNanos) {
    double latest = Math.max(MIN_NANOS, (double) leftNanos / WAIT_DIVISOR);
    double earliest = Math.min(latest, Math.max(MIN_NANOS, excessWaitNanos));
    double spread = Math.min(1, Math.max(MIN_SPREAD, overload));
    double delay = earliest + random.getAsDouble() * spread * (latest - earliest);
    return Duration.ofMillis((long) (delay / NANOS_PER_MILLI));
  }
}
