package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.guavagw.standins.history.Event.BillWritten;
import org.guavagw.standins.history.Event.CallerAnswered;
import org.guavagw.standins.history.Event.CallerRefused;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.ReportedRunState;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/**
 * No request has two bills, and a request that was refused as not run has none. An answered request
 * has a bill, unless it was answered within the window before the end of the history.
 */
public record BilledOnceChecker(Duration window) implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.BILLED_ONCE;
  }

  @Override
  public List<Violation> check(History history) {
    Set<String> billed = new HashSet<>();
    List<Violation> violations = new ArrayList<>();
    for (TimedEvent<BillWritten> bill : history.of(BillWritten.class)) {
      if (!billed.add(bill.event().requestId())) {
        violations.add(new Violation(invariant(), bill, "billed twice"));
      }
    }
    history.stream(CallerAnswered.class)
        .filter(a -> !billed.contains(a.event().requestId()) && isBillDue(history, a))
        .forEach(a -> violations.add(new Violation(invariant(), a, "answered but not billed")));
    history.stream(CallerRefused.class)
        .filter(r -> r.event().claim() == ReportedRunState.NOT_RUN)
        .filter(r -> isBilled(billed, r.event().requestId()))
        .forEach(
            r -> violations.add(new Violation(invariant(), r, "refused as not run but billed")));
    return List.copyOf(violations);
  }

  private boolean isBillDue(History history, TimedEvent<?> answer) {
    return history.endNanos() - answer.nanos() >= window.toNanos();
  }

  private static boolean isBilled(Set<String> billed, Optional<String> requestId) {
    return requestId.filter(billed::contains).isPresent();
  }
}
