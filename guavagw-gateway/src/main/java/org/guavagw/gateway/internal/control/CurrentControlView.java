package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.guavagw.internal.time.Clocks;

/**
 * The current view and the time at which the orders in it were last known to be the newest.
 *
 * <p>Thread-safe: the control thread writes, all threads read. Invariant: every change that the
 * store acknowledged before the time of the last check is part of the view.
 */
public final class CurrentControlView implements Supplier<ControlView> {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long UNKNOWN_OFFSET = Long.MIN_VALUE / 2;

  private final Clocks clocks;
  private volatile long storeOffsetMillis = UNKNOWN_OFFSET;
  private volatile ControlView view = ControlView.EMPTY;
  private volatile ClockReading checked;
  private final CompletableFuture<Void> whenReady = new CompletableFuture<>();

  /** Nothing known yet. */
  public CurrentControlView(Clocks clocks) {
    this.clocks = clocks;
  }

  @Override
  public ControlView get() {
    return view;
  }

  /** How long ago the orders were last known to be the newest; a very long time before that. */
  public Duration ordersAge() {
    ClockReading last = checked;
    return last == null ? Duration.ofDays(1) : last.age(clocks);
  }

  /** Whether requests can be decided at all. */
  public boolean isReady() {
    return view.config().isPresent() && view.backendsKnown();
  }

  /** The store's steady clock, as far as it is known; never ahead of it by more than a call. */
  public long storeMillis() {
    return clocks.monotonic().read() / NANOS_PER_MILLI + storeOffsetMillis;
  }

  void storeClock(long storeMillis, long nowNanos) {
    long offset = storeMillis - nowNanos / NANOS_PER_MILLI;
    storeOffsetMillis =
        storeOffsetMillis == UNKNOWN_OFFSET ? offset : Math.max(offset, storeOffsetMillis);
  }

  /** Completes when requests can be decided for the first time. */
  public CompletableFuture<Void> whenReady() {
    return whenReady;
  }

  void publish(ControlView next) {
    view = next;
    if (isReady()) {
      whenReady.complete(null);
    }
  }

  /** Notes that the orders were the newest at a moment. */
  void ordersChecked(ClockReading moment) {
    ClockReading last = checked;
    if (last == null || moment.nanos() - last.nanos() > 0) {
      checked = moment;
    }
  }
}
