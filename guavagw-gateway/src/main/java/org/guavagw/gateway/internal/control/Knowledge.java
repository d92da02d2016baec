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
public final class Knowledge implements Supplier<ControlView> {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long UNKNOWN_OFFSET = Long.MIN_VALUE / 2;

  private final Clocks clocks;
  private volatile long storeOffsetMillis = UNKNOWN_OFFSET;
  private volatile ControlView view = ControlView.EMPTY;
  private volatile Moment checked;
  private final CompletableFuture<Void> firstComplete = new CompletableFuture<>();

  /** Nothing known yet. */
  public Knowledge(Clocks clocks) {
    this.clocks = clocks;
  }

  @Override
  public ControlView get() {
    return view;
  }

  /** How long ago the orders were last known to be the newest; a very long time before that. */
  public Duration ordersAge() {
    Moment last = checked;
    return last == null ? Duration.ofDays(1) : last.age(clocks);
  }

  /** Whether requests can be decided at all. */
  public boolean complete() {
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
  public CompletableFuture<Void> firstComplete() {
    return firstComplete;
  }

  void publish(ControlView next) {
    view = next;
    if (complete()) {
      firstComplete.complete(null);
    }
  }

  /** Notes that the orders were the newest at a moment. */
  void ordersChecked(Moment moment) {
    Moment last = checked;
    if (last == null || moment.nanos() - last.nanos() > 0) {
      checked = moment;
    }
  }
}
