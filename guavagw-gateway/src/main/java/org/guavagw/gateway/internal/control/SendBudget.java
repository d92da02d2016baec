package org.guavagw.gateway.internal.control;

import java.time.Duration;

/**
 * Counts bytes that are sent against a fixed number for each period.
 *
 * <p>Bytes beyond the number are charged to the periods that follow, so that a long message delays
 * the next ones for longer; what a period leaves is not kept. Not thread-safe.
 */
final class SendBudget {
  private final long bytesPerPeriod;
  private final long periodNanos;
  private long periodStartNanos;
  private long spentBytes;

  SendBudget(long bytesPerPeriod, Duration period) {
    this.bytesPerPeriod = bytesPerPeriod;
    this.periodNanos = period.toNanos();
  }

  /** Returns whether anything may be sent now. */
  boolean isLeft(long nowNanos) {
    startPeriod(nowNanos);
    return spentBytes < bytesPerPeriod;
  }

  /** Counts bytes that are sent, whether or not anything is left. */
  void spend(long bytes, long nowNanos) {
    startPeriod(nowNanos);
    spentBytes += bytes;
  }

  private void startPeriod(long nowNanos) {
    if (spentBytes == 0) {
      periodStartNanos = nowNanos;
      return;
    }
    long periods = (nowNanos - periodStartNanos) / periodNanos;
    boolean paid = periods > spentBytes / bytesPerPeriod;
    spentBytes -= paid ? spentBytes : periods * bytesPerPeriod;
    periodStartNanos += periods * periodNanos;
  }
}
