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
   * @param propagation time within which decisions of operators reach every entry
   * @param billing time within which bills reach the table service
   */
  public static List<HistoryChecker> all(Duration propagation, Duration billing) {
    return List.of(
        new VersionsAllowedChecker(propagation),
        new WithdrawnVersionChecker(propagation),
        new SessionVersionChecker(),
        new BilledOnceChecker(billing),
        new ColdSlotsChecker(propagation),
        new DataCentreOutChecker(propagation),
        new WholeAnswerChecker(),
        new NotRunChecker(),
        new AtMostOnceChecker(),
        new LeavingServerChecker(propagation),
        new GracefulShutdownChecker(),
        new ConfigurationChecker(propagation));
  }

  /** Returns all violations that the checkers find. */
  public static List<Violation> check(List<HistoryChecker> checkers, History history) {
    return checkers.stream().flatMap(c -> c.check(history).stream()).toList();
  }
}
