package org.guavagw.standins.history.check;

import java.util.List;
import org.guavagw.standins.history.Event.CallerAnswered;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.Violation;

/** Each answer is the complete answer to the call of its caller. No time window applies. */
public record WholeAnswerChecker() implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.WHOLE_OWN_ANSWER;
  }

  @Override
  public List<Violation> check(History history) {
    return history.stream(CallerAnswered.class)
        .filter(a -> !isExpected(history, a.event()))
        .map(a -> new Violation(invariant(), a, "truncated, or the answer to another call"))
        .toList();
  }

  private static boolean isExpected(History history, CallerAnswered answer) {
    return CallerAttempts.sent(history, answer)
        .filter(s -> s.expected().matches(answer.requestId(), answer.text()))
        .isPresent();
  }
}
