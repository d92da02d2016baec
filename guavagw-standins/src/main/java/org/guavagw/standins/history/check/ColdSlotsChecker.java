package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.guavagw.standins.history.Event.ColdOverload;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.Event.ServerTurnedCold;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/**
 * A cold backend server never runs, and is never sent, more requests than it has cold slots.
 * Requests that reach it within the window after it turned cold without notice are tolerated.
 */
public record ColdSlotsChecker(Duration window) implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.COLD_SLOTS;
  }

  @Override
  public List<Violation> check(History history) {
    List<Violation> violations = new ArrayList<>();
    history.stream(ExecutionStarted.class)
        .filter(e -> e.event().cold() && e.event().concurrency() > e.event().coldSlots())
        .filter(e -> !isTolerated(history, e.event().server(), e))
        .forEach(
            e ->
                violations.add(new Violation(invariant(), e, "ran more requests than cold slots")));
    history.stream(ColdOverload.class)
        .filter(o -> !isTolerated(history, o.event().server(), o))
        .forEach(
            o ->
                violations.add(
                    new Violation(invariant(), o, "sent more requests than cold slots")));
    return List.copyOf(violations);
  }

  private boolean isTolerated(History history, String server, TimedEvent<?> event) {
    return history.stream(ServerTurnedCold.class)
        .filter(c -> c.event().server().equals(server))
        .anyMatch(c -> c.isBefore(event) && !event.isLaterThan(c, window));
  }
}
