package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.time.Instant;
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
  private volatile Checked checked;

  /** Nothing known yet. */
  public Knowledge(Clocks clocks) {
    this.clocks = clocks;
  }

  @Override
  public ControlView get() {
    return view;
  }

  /**
   * How long ago the orders were last known to be the newest; a very long time before that.
   *
   * <p>The monotonic clock stands still while a VM is suspended, so the wall clock counts where it
   * says that more time has passed.
   */
  public Duration ordersAge() {
    Checked last = checked;
    if (last == null) {
      return Duration.ofDays(1);
    }
    Duration monotonic = Duration.ofNanos(clocks.monotonic().read() - last.nanos());
    Duration wall = Duration.between(last.wall(), clocks.wall().instant());
    return wall.compareTo(monotonic) > 0 ? wall : monotonic;
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

  void publish(ControlView next) {
    view = next;
  }

  void ordersChecked(long nanos) {
    Checked last = checked;
    if (last == null || nanos - last.nanos() > 0) {
      long ago = clocks.monotonic().read() - nanos;
      checked = new Checked(nanos, clocks.wall().instant().minusNanos(ago));
    }
  }

  /** When the orders were last known to be the newest, by both clocks. Immutable. */
  private record Checked(long nanos, Instant wall) {}
}
