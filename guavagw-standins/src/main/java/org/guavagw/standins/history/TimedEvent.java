package org.guavagw.standins.history;

import java.time.Duration;

/**
 * An event with its place in a history. Immutable.
 *
 * @param order place among all events; rises by one
 * @param nanos monotonic time; never falls along the order
 */
public record TimedEvent<E extends Event>(long order, long nanos, E event) {
  /** Whether this happened more than a window after another event. */
  public boolean isLaterThan(TimedEvent<?> other, Duration window) {
    return nanos - other.nanos > window.toNanos();
  }

  /** Whether this came before another event. */
  public boolean isBefore(TimedEvent<?> other) {
    return order < other.order;
  }
}
