package org.guavagw.standins.history.check;

import java.util.List;
import org.guavagw.standins.history.Event.CallerAnswered;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.Violation;

/** Each answer is the whole answer to the call of its caller. No window applies. */
public record WholeAnswerChecker() implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.WHOLE_OWN_ANSWER;
  }

  @Override
  public List<Violation> check(History history) {
    return history.stream(CallerAnswered.class)
        .filter(a -> !isOwn(history, a.event()))
        .map(a -> new Violation(invariant(), a, "cut short, or the answer to another call"))
        .toList();
  }

  private static boolean isOwn(History history, CallerAnswered answer) {
    return CallerAttempts.sent(history, answer)
        .filter(s -> s.expected().matches(answer.requestId(), answer.text()))
        .isPresent();
  }
}
