package org.guavagw.standins.history;

import java.util.List;

/** Checks one promise. Implementations are immutable and thread-safe. */
public interface HistoryChecker {
  /** The promise that is checked. */
  Promise promise();

  /** Every violation in a history of a run that has ended. */
  List<Violation> check(History history);
}
