package org.guavagw.internal.durable;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.internal.time.Clocks;

/** Clocks that tests move by hand, each on its own. Thread-safe. */
public final class ManualClocks {
  private static final Instant START = Instant.parse("2030-03-05T10:00:00Z");

  private final AtomicLong monotonicNanos = new AtomicLong();
  private final AtomicLong wallMs = new AtomicLong(START.toEpochMilli());

  /** The clocks as the code under test sees them. */
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

  /** Lets time pass on both clocks. */
  public void advance(Duration time) {
    monotonicNanos.addAndGet(time.toNanos());
    wallMs.addAndGet(time.toMillis());
  }

  /** Sets the wall clock forth or back while no time passes. */
  public void jumpWall(Duration by) {
    wallMs.addAndGet(by.toMillis());
  }
}
