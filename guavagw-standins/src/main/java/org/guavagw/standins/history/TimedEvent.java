package org.guavagw.standins.history;

import java.time.Duration;

/**
 * An event with its position and time in a history. Immutable.
 *
 * @param order position among all events; increases by one
 * @param nanos monotonic time; never decreases along the order
 */
public record TimedEvent<E extends Event>(long order, long nanos, E event) {
  /** Returns whether this event happened more than a window after another one. */
  public boolean isLaterThan(TimedEvent<?> other, Duration window) {
    return nanos - other.nanos > window.toNanos();
  }

  /** Returns whether this event comes before another one. */
  public boolean isBefore(TimedEvent<?> other) {
    return order < other.order;
  }
}
