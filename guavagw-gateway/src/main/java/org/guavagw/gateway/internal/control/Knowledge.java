package org.guavagw.gateway.internal.control;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.function.Supplier;

/**
 * The current view and the time at which the orders in it were last known to be the newest.
 *
 * <p>Thread-safe: the control thread writes, all threads read. Invariant: every change that the
 * store acknowledged before {@link #ordersCheckedNanos} is part of the view.
 */
public final class Knowledge implements Supplier<ControlView> {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long UNKNOWN_OFFSET = Long.MIN_VALUE / 2;

  private final Ticker ticker;
  private volatile long storeOffsetMillis = UNKNOWN_OFFSET;
  private volatile ControlView view = ControlView.EMPTY;
  private volatile long ordersCheckedNanos;
  private volatile boolean ordersChecked;

  /** Nothing known yet. */
  public Knowledge(Ticker ticker) {
    this.ticker = ticker;
  }

  @Override
  public ControlView get() {
    return view;
  }

  /** How long ago the orders were last known to be the newest; a very long time before that. */
  public Duration ordersAge() {
    return ordersChecked
        ? Duration.ofNanos(ticker.read() - ordersCheckedNanos)
        : Duration.ofDays(1);
  }

  /** Whether requests can be decided at all. */
  public boolean complete() {
    return view.config().isPresent() && view.backendsKnown();
  }

  /** The store's steady clock, as far as it is known; never ahead of it by more than a call. */
  public long storeMillis() {
    return ticker.read() / NANOS_PER_MILLI + storeOffsetMillis;
  }

  void storeClock(long storeMillis, long nowNanos) {
    long offset = storeMillis - nowNanos / NANOS_PER_MILLI;
    storeOffsetMillis =
        storeOffsetMillis == UNKNOWN_OFFSET ? offset : Math.max(offset, storeOffsetMillis);
  }

  void publish(ControlView next) {
    view = next;
  }

  void ordersChecked(long nanos) {
    if (!ordersChecked || nanos - ordersCheckedNanos > 0) {
      ordersCheckedNanos = nanos;
      ordersChecked = true;
    }
  }
}
