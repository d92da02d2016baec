package org.guavagw.gateway.internal.logging;

/** Limits the lines of one event per second. Thread-safe. */
final class EventRateLimiter {
  /** Well above the request rate of one entry; a line takes a few hundred bytes. */
  private static final int MAX_LINES_PER_SECOND = 300;

  private long second;
  private int lines;
  private long suppressed;

  /** Returns whether another line may be written, and counts it as written or suppressed. */
  synchronized boolean tryAcquire(long nowSecond) {
    if (nowSecond != second) {
      second = nowSecond;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND) {
      suppressed++;
      return false;
    }
    lines++;
    return true;
  }

  /** Returns the number of lines suppressed since the last call. */
  synchronized long takeSuppressed() {
    long count = suppressed;
    suppressed = 0;
    return count;
  }
}
