package org.guavagw.cli.bench.load;

import com.google.common.base.Ticker;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time and the actions that are due. Not thread-safe. */
final class EventQueue extends Ticker {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparing(Event::order));
  private long nowNanos;
  private long scheduled;

  @Override
  public long read() {
    return nowNanos;
  }

  void after(long delayNanos, Runnable action) {
    at(nowNanos + delayNanos, action);
  }

  void at(long atNanos, Runnable action) {
    events.add(new Event(Math.max(atNanos, nowNanos), scheduled++, action));
  }

  /** Runs an action now and then again each period until the end. */
  void every(long periodNanos, long endNanos, Runnable action) {
    action.run();
    if (nowNanos + periodNanos <= endNanos) {
      after(periodNanos, () -> every(periodNanos, endNanos, action));
    }
  }

  /** Runs every action that is due up to a time. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }

  /** An action and its time; equal times run in the order of scheduling. Immutable. */
  private record Event(long atNanos, long order, Runnable action) {}
}
