package org.guavagw.internal.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Keeps, for the last 20 s, the number of the newest change at each time. Confined to the control
 * thread.
 */
final class ChangeNumberHistory {
  private static final long WINDOW_NS = Duration.ofSeconds(20).toNanos();
  private static final long SAMPLE_INTERVAL_NS = Duration.ofSeconds(1).toNanos();

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long newestBeforeWindow;

  /** Records the number of the newest change, at most once a second. */
  void add(long nowNs, long newest) {
    if (samples.isEmpty() || nowNs - samples.getLast().timeNs() >= SAMPLE_INTERVAL_NS) {
      samples.addLast(new Sample(nowNs, newest));
    }
  }

  /** Treats all changes up to a number as older than the window. */
  void reset(long newest) {
    samples.clear();
    newestBeforeWindow = newest;
  }

  /** Returns the number of the newest change that is older than the window. */
  long newestBeforeWindow(long nowNs) {
    while (!samples.isEmpty() && nowNs - samples.getFirst().timeNs() > WINDOW_NS) {
      newestBeforeWindow = samples.removeFirst().newest();
    }
    return newestBeforeWindow;
  }

  /** The number of the newest change at a point in time. Immutable. */
  private record Sample(long timeNs, long newest) {}
}
