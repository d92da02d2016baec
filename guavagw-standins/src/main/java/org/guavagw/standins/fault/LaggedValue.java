package org.guavagw.standins.fault;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** A value that readers see with a fixed lag. Thread-safe; the values are immutable. */
public final class LaggedValue<T> {
  private final Deque<Entry<T>> entries = new ArrayDeque<>();
  private final Ticker ticker;
  private final long lagNanos;

  /** Starts with a value that is returned until a later one is old enough. */
  public LaggedValue(Ticker ticker, Duration lag, T first) {
    this.ticker = ticker;
    this.lagNanos = lag.toNanos();
    set(first);
  }

  /** Sets the value. */
  public synchronized void set(T value) {
    entries.addLast(new Entry<>(ticker.read(), value));
    prune();
  }

  /** Returns the value as of one lag ago. */
  public synchronized T get() {
    prune();
    return entries.getFirst().value();
  }

  private void prune() {
    long shownAt = ticker.read() - lagNanos;
    while (entries.size() > 1 && second().at() <= shownAt) {
      entries.removeFirst();
    }
  }

  private Entry<T> second() {
    Iterator<Entry<T>> it = entries.iterator();
    it.next();
    return it.next();
  }

  /** A value and when it was set. */
  private record Entry<T>(long at, T value) {}
}
