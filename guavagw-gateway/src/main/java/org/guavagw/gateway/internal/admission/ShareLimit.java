package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/**
 * How many requests for a service this entry runs at a time, from its own demand and that of the
 * other entries. Traffic thread only.
 *
 * <p>Without reports of others, as at a partitioned entry, the last limit holds for a time. A limit
 * that is not whole is rounded up as often as its fraction says.
 */
final class ShareLimit {
  /** Time for which a limit holds without reports; longer than most partitions of one entry. */
  private static final Duration HOLD_TIME = Duration.ofSeconds(10);

  private static final int MAX_EXTRA_STARTS = 64;

  private final double minRatio;
  private final DoubleSupplier random;
  private double limit = Double.POSITIVE_INFINITY;
  private double rounded = Double.POSITIVE_INFINITY;
  private long reportedNanos;
  private int extraStarts = 1;

  ShareLimit(double minRatio, DoubleSupplier random) {
    this.minRatio = minRatio;
    this.random = random;
  }

  /** Takes the demand of all other entries into account; empty if none has reported of late. */
  void update(ServiceDemand own, Optional<ServiceDemand> others, long nowNanos) {
    if (others.isPresent()) {
      limit = EntryShare.runningLimit(own, others.get(), minRatio);
      reportedNanos = nowNanos;
    } else if (nowNanos - reportedNanos > HOLD_TIME.toNanos()) {
      limit = Double.POSITIVE_INFINITY;
    }
    rounded = Math.floor(limit + random.getAsDouble());
  }

  /**
   * Returns whether one more request may start beside those that run. One may start in any case:
   * the demand of a service is not known before its first request has ended.
   */
  boolean allows(int running) {
    return running < Math.max(1, rounded);
  }

  boolean isLimited() {
    return limit < Double.POSITIVE_INFINITY;
  }

  /** Returns the limit; infinite if there is none. */
  double limit() {
    return limit;
  }

  /**
   * Returns how many requests may start beyond the limit, as nobody has taken the room since the
   * last reports.
   */
  int extraStarts() {
    return extraStarts;
  }

  /** Records how many of the extra starts found room. */
  void onExtraStarts(int started) {
    extraStarts = started == extraStarts ? Math.min(2 * extraStarts, MAX_EXTRA_STARTS) : 1;
  }
}
