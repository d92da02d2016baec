package org.guavagw.gateway.internal.quarantine;

import java.util.List;
import java.util.function.Consumer;

/** Keeps the evidence for holds beyond the end of all entries. */
public interface SuspectStore {
  /** Saves the suspects that this entry saw itself unless they are saved already; any thread. */
  void save(List<TimedSuspect> suspects);

  /** Sets the receiver of the suspects that any entry saved; called on the control thread. */
  void onRead(Consumer<List<TimedSuspect>> receiver);
}
