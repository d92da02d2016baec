package org.guavagw.standins.history.check;

import java.util.List;
import org.guavagw.standins.history.Event.CallerRefused;
import org.guavagw.standins.history.Event.CallerSent;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.ReportedRunState;
import org.guavagw.standins.history.TimedEvent;
import org.guavagw.standins.history.Violation;

/**
 * A call is not executed if all attempts sent so far were refused as not run. No time window
 * applies.
 */
public record NotRunChecker() implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.NOT_RUN_IS_TRUE;
  }

  @Override
  public List<Violation> check(History history) {
    return history.stream(ExecutionStarted.class)
        .filter(
            e -> e.event().callId().filter(id -> allRefusedAsNotRun(history, id, e)).isPresent())
        .map(
            e ->
                new Violation(invariant(), e, "executed, but every attempt was refused as not run"))
        .toList();
  }

  private static boolean allRefusedAsNotRun(
      History history, String callId, TimedEvent<?> execution) {
    List<TimedEvent<CallerSent>> attempts =
        history.stream(CallerSent.class)
            .filter(s -> s.event().callId().equals(callId) && s.isBefore(execution))
            .toList();
    return !attempts.isEmpty() && attempts.stream().allMatch(s -> refusedAsNotRun(history, s));
  }

  private static boolean refusedAsNotRun(History history, TimedEvent<CallerSent> sent) {
    return history.stream(CallerRefused.class)
        .filter(r -> r.event().claim() == ReportedRunState.NOT_RUN)
        .anyMatch(r -> CallerAttempts.sameAttempt(r.event(), sent.event()));
  }
}
