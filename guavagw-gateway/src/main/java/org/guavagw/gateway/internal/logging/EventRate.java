package org.guavagw.gateway.internal.logging;

/** How many lines of one event are written in a second. Thread-safe. */
final class EventRate {
  /** Many times what one entry serves; a line takes a few hundred bytes. */
  private static final int MAX_LINES_PER_SECOND = 300;

  private long second;
  private int lines;
  private long leftOut;

  /** Whether one more line may be written; counts it either way. */
  synchronized boolean admits(long nowSecond) {
    if (nowSecond != second) {
      second = nowSecond;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND) {
      leftOut++;
      return false;
    }
    lines++;
    return true;
  }

  /** Lines that were left out since this was last asked. */
  synchronized long takeLeftOut() {
    long taken = leftOut;
    leftOut = 0;
    return taken;
  }
}
