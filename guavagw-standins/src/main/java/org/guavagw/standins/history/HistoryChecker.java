package org.guavagw.standins.history;

import java.util.List;

/** Checks one invariant. Implementations are immutable and thread-safe. */
public interface HistoryChecker {
  /** The invariant that is checked. */
  Invariant invariant();

  /** Every violation in a history of a run that has ended. */
  List<Violation> check(History history);
}
