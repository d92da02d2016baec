package org.guavagw.internal.rows;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Limits one entry's transactions to its equal share of a rate for all entries together.
 *
 * <p>Idle time allows no burst: after a pause of any length, one write is allowed immediately and
 * the next one a full interval later. Thread-safe.
 */
public final class WriteRateLimiter {
  private final double writesPerSecond;
  private final IntSupplier memberCount;
  private final Ticker ticker;
  private long nextNanos;

  /**
   * Creates a limiter for a rate over all entries. {@code memberCount} returns the number of
   * entries.
   */
  public WriteRateLimiter(double writesPerSecond, IntSupplier memberCount, Ticker ticker) {
    this.writesPerSecond = writesPerSecond;
    this.memberCount = memberCount;
    this.ticker = ticker;
    this.nextNanos = ticker.read();
  }

  /** Returns the time until the next write is allowed, or zero. */
  public synchronized long nanosUntilNext() {
    return Math.max(0, nextNanos - ticker.read());
  }

  /** Acquires the permission for one write, if it is available now. */
  public synchronized boolean tryAcquire() {
    long now = ticker.read();
    if (now - nextNanos < 0) {
      return false;
    }
    nextNanos = now + intervalNanos();
    return true;
  }

  /** Returns the time between two writes of this entry. */
  public long intervalNanos() {
    int entries = Math.max(1, memberCount.getAsInt());
    return (long) (TimeUnit.SECONDS.toNanos(1) * entries / writesPerSecond);
  }
}
