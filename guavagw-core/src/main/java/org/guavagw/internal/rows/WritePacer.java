package org.guavagw.internal.rows;

import com.google.common.base.Ticker;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Keeps one entry's transactions within its part of a rate that all entries share equally.
 *
 * <p>Idle time earns no burst: after any pause one write may go at once and the next a whole
 * interval later. Thread-safe.
 */
public final class WritePacer {
  private final double writesPerSecond;
  private final IntSupplier members;
  private final Ticker ticker;
  private long nextNanos;

  /** A pacer for a rate over all entries; {@code members} counts them. */
  public WritePacer(double writesPerSecond, IntSupplier members, Ticker ticker) {
    this.writesPerSecond = writesPerSecond;
    this.members = members;
    this.ticker = ticker;
    this.nextNanos = ticker.read();
  }

  /** Time until the next write may go, or zero. */
  public synchronized long nanosUntilNext() {
    return Math.max(0, nextNanos - ticker.read());
  }

  /** Takes the right to write once, if it is there now. */
  public synchronized boolean tryAcquire() {
    long now = ticker.read();
    if (now - nextNanos < 0) {
      return false;
    }
    nextNanos = now + intervalNanos();
    return true;
  }

  /** Time between two writes of this entry. */
  public long intervalNanos() {
    int sharers = Math.max(1, members.getAsInt());
    return (long) (TimeUnit.SECONDS.toNanos(1) * sharers / writesPerSecond);
  }
}
