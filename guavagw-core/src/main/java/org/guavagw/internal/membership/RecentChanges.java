package org.guavagw.internal.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Remembers which change was the newest at which time. Confined to the control thread. */
final class RecentChanges {
  private static final long WINDOW_NS = Duration.ofMinutes(1).toNanos();
  private static final long MARK_INTERVAL_NS = Duration.ofSeconds(1).toNanos();

  private final Deque<Mark> marks = new ArrayDeque<>();
  private long before;

  /** Notes the number of the newest change. */
  void note(long nowNs, long newest) {
    if (marks.isEmpty() || nowNs - marks.getLast().atNs() >= MARK_INTERVAL_NS) {
      marks.addLast(new Mark(nowNs, newest));
    }
  }

  /** Takes all changes up to a number as old. */
  void reset(long newest) {
    marks.clear();
    before = newest;
  }

  /** Number of the newest change that is older than the window. */
  long numberBefore(long nowNs) {
    while (!marks.isEmpty() && nowNs - marks.getFirst().atNs() > WINDOW_NS) {
      before = marks.removeFirst().newest();
    }
    return before;
  }

  /** The newest change at a time. Immutable. */
  private record Mark(long atNs, long newest) {}
}
