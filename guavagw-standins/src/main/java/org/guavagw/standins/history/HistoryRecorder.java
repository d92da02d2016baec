package org.guavagw.standins.history;

import com.google.common.base.Ticker;
import java.util.ArrayList;
import java.util.List;

/**
 * Records events in a total order with monotonic time. Append-only and thread-safe: an event whose
 * recording ends before that of another begins comes first.
 */
public final class HistoryRecorder {
  private final Ticker ticker;
  private final List<TimedEvent<Event>> events = new ArrayList<>();

  /** Creates a recorder with an empty history. */
  public HistoryRecorder(Ticker ticker) {
    this.ticker = ticker;
  }

  /** Appends an event with the current time. */
  public synchronized void record(Event event) {
    events.add(new TimedEvent<>(events.size(), ticker.read(), event));
  }

  /** Returns the events recorded so far. */
  public synchronized History history() {
    return new History(events);
  }
}
