package org.guavagw.standins.history;

import java.util.List;

/** Checks one invariant of a history. Implementations are immutable and thread-safe. */
public interface HistoryChecker {
  /** Returns the checked invariant. */
  Invariant invariant();

  /** Returns all violations in the history of a run that has ended. */
  List<Violation> check(History history);
}
