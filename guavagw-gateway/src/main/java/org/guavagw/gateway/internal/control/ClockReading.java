package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.time.Instant;
import org.guavagw.internal.time.Clocks;

/**
 * One moment as both clocks show it. Immutable.
 *
 * <p>The monotonic clock stands still while a VM is suspended and the wall clock may be set, so the
 * age of a moment is the larger of the two differences.
 */
record ClockReading(long nanos, Instant wall) {
  static ClockReading now(Clocks clocks) {
    return new ClockReading(clocks.monotonic().read(), clocks.wall().instant());
  }

  ClockReading plus(Duration time) {
    return new ClockReading(nanos + time.toNanos(), wall.plus(time));
  }

  /** How much later than another moment this one is at least; negative if it is earlier. */
  Duration after(ClockReading other) {
    Duration monotonic = Duration.ofNanos(nanos - other.nanos);
    Duration byWall = Duration.between(other.wall, wall);
    return byWall.compareTo(monotonic) < 0 ? byWall : monotonic;
  }

  Duration age(Clocks clocks) {
    Duration monotonic = Duration.ofNanos(clocks.monotonic().read() - nanos);
    Duration byWall = Duration.between(wall, clocks.wall().instant());
    return byWall.compareTo(monotonic) > 0 ? byWall : monotonic;
  }
}
