package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Violation;

/** All checkers together. Stateless. */
public final class Checkers {
  private Checkers() {}

  /**
   * One checker for each invariant.
   *
   * @param spread time for decisions of operators to reach every entry
   * @param billing time for bills to reach the table service
   */
  public static List<HistoryChecker> all(Duration spread, Duration billing) {
    return List.of(
        new VersionsAllowedChecker(spread),
        new WithdrawnVersionChecker(spread),
        new SessionVersionChecker(),
        new BilledOnceChecker(billing),
        new ColdSlotsChecker(spread),
        new DataCentreOutChecker(spread),
        new WholeAnswerChecker(),
        new NotRunChecker(),
        new AtMostOnceChecker(),
        new LeavingServerChecker(spread),
        new GracefulShutdownChecker(),
        new ConfigurationChecker(spread));
  }

  /** Every violation that any of the checkers finds. */
  public static List<Violation> check(List<HistoryChecker> checkers, History history) {
    return checkers.stream().flatMap(c -> c.check(history).stream()).toList();
  }
}
