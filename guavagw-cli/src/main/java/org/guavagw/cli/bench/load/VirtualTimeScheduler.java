package org.guavagw.cli.bench.load;

import com.google.common.base.Ticker;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in virtual time. Not thread-safe. */
final class VirtualTimeScheduler extends Ticker {
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

  /** Runs an action now and then periodically until the end. */
  void every(long periodNanos, long endNanos, Runnable action) {
    action.run();
    if (nowNanos + periodNanos <= endNanos) {
      after(periodNanos, () -> every(periodNanos, endNanos, action));
    }
  }

  /** Runs all actions that are due up to the given time. */
  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }

  /** A scheduled action; actions with equal times run in scheduling order. Immutable. */
  private record Event(long atNanos, long order, Runnable action) {}
}
