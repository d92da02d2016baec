package org.guavagw.gateway.internal;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.guavagw.internal.time.Clocks;

/** A monotonic clock and a wall clock that tests advance. Thread-safe. */
public final class ManualClock extends Ticker {
  private final AtomicLong nanos = new AtomicLong(1_000_000_000L);
  private final AtomicReference<Instant> wall = new AtomicReference<>(Instant.EPOCH);

  @Override
  public long read() {
    return nanos.get();
  }

  /** Advances both clocks. */
  public void advance(Duration time) {
    nanos.addAndGet(time.toNanos());
    stepWall(time);
  }

  /** Advances only the wall clock, as after a suspend or a manual change. */
  public void stepWall(Duration time) {
    wall.updateAndGet(w -> w.plus(time));
  }

  /** Returns both clocks. */
  public Clocks clocks() {
    return new Clocks(wall::get, this);
  }
}
