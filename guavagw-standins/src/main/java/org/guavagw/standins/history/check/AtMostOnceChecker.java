package org.guavagw.standins.history.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/**
 * A call that is not repeatable is executed at most once over all of its attempts. An execution
 * that resumes an earlier one does not count. No time window applies.
 */
public record AtMostOnceChecker() implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.AT_MOST_ONCE;
  }

  @Override
  public List<Violation> check(History history) {
    Set<String> unrepeatable = unrepeatable(history);
    Set<String> started = new HashSet<>();
    List<Violation> violations = new ArrayList<>();
    for (TimedEvent<ExecutionStarted> e : history.of(ExecutionStarted.class)) {
      boolean notRepeatable = e.event().callId().filter(unrepeatable::contains).isPresent();
      if (notRepeatable && !e.event().resumed() && !started.add(e.event().callId().get())) {
        violations.add(new Violation(invariant(), e, "executed more than once"));
      }
    }
    return List.copyOf(violations);
  }

  private static Set<String> unrepeatable(History history) {
    return history.stream(CallerSent.class)
        .filter(s -> !s.event().repeatable())
        .map(s -> s.event().callId())
        .collect(Collectors.toSet());
  }
}
