package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.time.Instant;
import org.guavagw.internal.time.Clocks;

/**
 * A moment as read from both the monotonic and the wall clock. Immutable.
 *
 * <p>The monotonic clock stops while a VM is suspended and the wall clock may be set, so the age of
 * a moment is the larger of the two differences.
 */
record ClockReading(long nanos, Instant wall) {
  static ClockReading now(Clocks clocks) {
    return new ClockReading(clocks.monotonic().read(), clocks.wall().instant());
  }

  ClockReading plus(Duration duration) {
    return new ClockReading(nanos + duration.toNanos(), wall.plus(duration));
  }

  /**
   * Returns a lower bound on the time from another moment to this one; negative if this one is
   * earlier.
   */
  Duration elapsedSince(ClockReading other) {
    Duration monotonic = Duration.ofNanos(nanos - other.nanos);
    Duration wallClock = Duration.between(other.wall, wall);
    return wallClock.compareTo(monotonic) < 0 ? wallClock : monotonic;
  }

  Duration age(Clocks clocks) {
    Duration monotonic = Duration.ofNanos(clocks.monotonic().read() - nanos);
    Duration wallClock = Duration.between(wall, clocks.wall().instant());
    return wallClock.compareTo(monotonic) > 0 ? wallClock : monotonic;
  }
}
