package org.guavagw.standins.history;

import com.google.common.base.Ticker;
import java.util.ArrayList;
import java.util.List;

/**
 * Records events in one order with monotonic time. Append-only and thread-safe: an event that was
 * recorded before another was begun comes first.
 */
public final class HistoryRecorder {
  private final Ticker ticker;
  private final List<TimedEvent<Event>> events = new ArrayList<>();

  /** Starts an empty history. */
  public HistoryRecorder(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Appends an event that happens now. */
  public synchronized void record(Event event) {
    events.add(new TimedEvent<>(events.size(), ticker.read(), event));
  }

  /** Everything recorded so far. */
  public synchronized History history() {
    return new History(events);
  }
}
