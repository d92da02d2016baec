package org.guavagw.standins.engine;

import com.google.common.base.Ticker;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Load reports of the last while, so that one can be shown late. Thread-safe. */
final class LoadHistory {
  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Ticker ticker;
  private final long lagNanos;

  LoadHistory(Ticker ticker, Duration lag) {
    this.ticker = ticker;
    this.lagNanos = lag.toNanos();
  }

  synchronized void add(LoadReport report) {
    entries.addLast(new Entry(ticker.read(), report));
    prune();
  }

  /** The report that was true a lag ago, or the oldest known. */
  synchronized LoadReport shown() {
    prune();
    return entries.getFirst().report();
  }

  private void prune() {
    long shownAt = ticker.read() - lagNanos;
    while (entries.size() > 1 && second().at() <= shownAt) {
      entries.removeFirst();
    }
  }

  private Entry second() {
    var it = entries.iterator();
    it.next();
    return it.next();
  }

  /** A report and when it became true. */
  private record Entry(long at, LoadReport report) {}
}
