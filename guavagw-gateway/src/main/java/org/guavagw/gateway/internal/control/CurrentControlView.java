package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.guavagw.internal.time.Clocks;

/**
 * Holds the current {@link ControlView} and the time at which its orders were last confirmed to be
 * current.
 *
 * <p>Thread-safe: the control thread writes, all threads read. Invariant: the view contains every
 * change that the store acknowledged before the time of the last check.
 */
public final class CurrentControlView implements Supplier<ControlView> {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long UNKNOWN_OFFSET = Long.MIN_VALUE / 2;

  private final Clocks clocks;
  private volatile long storeOffsetMillis = UNKNOWN_OFFSET;
  private volatile ControlView view = ControlView.EMPTY;
  private volatile ClockReading lastOrdersCheck;
  private final CompletableFuture<Void> whenReady = new CompletableFuture<>();

  /** Creates a holder with an empty view. */
  public CurrentControlView(Clocks clocks) {
    this.clocks = clocks;
  }

  @Override
  public ControlView get() {
    return view;
  }

  /**
   * Returns how long ago the orders were last confirmed to be current; one day if they never were.
   */
  public Duration ordersAge() {
    ClockReading last = lastOrdersCheck;
    return last == null ? Duration.ofDays(1) : last.age(clocks);
  }

  /** Returns whether the view has all that is needed to handle requests. */
  public boolean isReady() {
    return view.config().isPresent() && view.backendsKnown() && lastOrdersCheck != null;
  }

  /**
   * Returns an estimate of the store's monotonic clock; never ahead of it by more than the duration
   * of a call.
   */
  public long storeMillis() {
    return clocks.monotonic().read() / NANOS_PER_MILLI + storeOffsetMillis;
  }

  void updateStoreClock(long storeMillis, long nowNanos) {
    long offset = storeMillis - nowNanos / NANOS_PER_MILLI;
    storeOffsetMillis =
        storeOffsetMillis == UNKNOWN_OFFSET ? offset : Math.max(offset, storeOffsetMillis);
  }

  /** Returns a future that completes when the view is ready for the first time. */
  public CompletableFuture<Void> whenReady() {
    return whenReady;
  }

  void publish(ControlView next) {
    view = next;
    completeIfReady();
  }

  private void completeIfReady() {
    if (isReady()) {
      whenReady.complete(null);
    }
  }

  /** Records that the orders were current at the given time. */
  void recordOrdersCheck(ClockReading at) {
    ClockReading last = lastOrdersCheck;
    if (last == null || at.nanos() - last.nanos() > 0) {
      lastOrdersCheck = at;
      completeIfReady();
    }
  }
}
