package org.guavagw.standins.history.check;

import java.util.List;
import java.util.Optional;
import org.guavagw.standins.history.Event.CallerCut;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.Event.EntryStopping;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/** A graceful shutdown of an entry cuts off no caller. No time window applies. */
public record GracefulShutdownChecker() implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.GRACEFUL_SHUTDOWN;
  }

  @Override
  public List<Violation> check(History history) {
    return history.stream(CallerCut.class)
        .filter(c -> isCutByStoppingEntry(history, c))
        .map(c -> new Violation(invariant(), c, "cut off by a graceful shutdown"))
        .toList();
  }

  private static boolean isCutByStoppingEntry(History history, TimedEvent<CallerCut> cut) {
    Optional<String> entry = CallerAttempts.sent(history, cut.event()).map(CallerSent::entry);
    return history.stream(EntryStopping.class)
        .anyMatch(s -> entry.equals(Optional.of(s.event().entry())) && s.isBefore(cut));
  }
}
