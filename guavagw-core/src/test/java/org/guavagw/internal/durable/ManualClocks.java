package org.guavagw.internal.durable;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.internal.time.Clocks;

/** A wall clock and a monotonic clock that tests advance manually. Thread-safe. */
public final class ManualClocks {
  private static final Instant START = Instant.parse("2030-03-05T10:00:00Z");

  private final AtomicLong monotonicNanos = new AtomicLong();
  private final AtomicLong wallMs = new AtomicLong(START.toEpochMilli());

  /** Returns the clocks for the code under test. */
  public Clocks clocks() {
    return new Clocks(
        () -> Instant.ofEpochMilli(wallMs.get()),
        new com.google.common.base.Ticker() {
          @Override
          public long read() {
            return monotonicNanos.get();
          }
        });
  }

  /** Advances both clocks. */
  public void advance(Duration time) {
    monotonicNanos.addAndGet(time.toNanos());
    wallMs.addAndGet(time.toMillis());
  }

  /** Moves the wall clock forward or back without advancing the monotonic clock. */
  public void jumpWall(Duration by) {
    wallMs.addAndGet(by.toMillis());
  }
}
