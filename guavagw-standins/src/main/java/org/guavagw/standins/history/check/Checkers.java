package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Violation;

/** The set of all checkers. Stateless. */
public final class Checkers {
  private Checkers() {}

  /**
   * Returns one checker per invariant.
   *
   * @param spread time within which decisions of operators reach every entry
   * @param billing time within which bills reach the table service
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

  /** Returns all violations that the checkers find. */
  public static List<Violation> check(List<HistoryChecker> checkers, History history) {
    return checkers.stream().flatMap(c -> c.check(history).stream()).toList();
  }
}
