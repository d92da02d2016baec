package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.gateway.internal.placement.WorkReportSender;

/**
 * Measures by how much an event loop is behind, from a task that is to run at a fixed rate.
 *
 * <p>A loop that lags has not yet read what its sockets hold: the callers of requests that it reads
 * now may already have left. Not thread-safe.
 */
final class EventLoopLag {
  /** Interval of the measuring task, which is the task that sends work reports. */
  static final Duration PERIOD = WorkReportSender.PERIOD;

  /** How long a lag counts after it was measured: a backlog takes several rounds of the loop. */
  private static final long MEMORY_NANOS = Duration.ofMillis(500).toNanos();

  private long lastTickNanos;
  private long measuredNanos;
  private long measuredAtNanos;

  /**
   * Starts to measure.
   *
   * @param sinceNanos monotonic time since which connections may have waited
   */
  EventLoopLag(long sinceNanos) {
    this.lastTickNanos = sinceNanos;
    this.measuredAtNanos = sinceNanos;
  }

  /** Called by the measuring task. */
  void tick(long nowNanos) {
    long lag = overdueNanos(nowNanos);
    if (lag >= measuredNanos || nowNanos - measuredAtNanos > MEMORY_NANOS) {
      measuredNanos = lag;
      measuredAtNanos = nowNanos;
    }
    lastTickNanos = nowNanos;
  }

  /** Returns the largest lag of late, including that of a tick that is overdue. */
  Duration recent(long nowNanos) {
    long remembered = nowNanos - measuredAtNanos > MEMORY_NANOS ? 0 : measuredNanos;
    return Duration.ofNanos(Math.max(remembered, overdueNanos(nowNanos)));
  }

  /** Returns a time, to within {@link #PERIOD}; what came before it has been read by now. */
  long readUntil(long nowNanos) {
    return nowNanos - recent(nowNanos).toNanos();
  }

  private long overdueNanos(long nowNanos) {
    return Math.max(0, nowNanos - lastTickNanos - PERIOD.toNanos());
  }
}
