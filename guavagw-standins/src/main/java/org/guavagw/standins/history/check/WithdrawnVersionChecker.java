package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.Event.VersionWithdrawn;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Promise;
import org.guavagw.standins.history.Timed;
import org.guavagw.standins.history.Violation;

/** No request arrives for a version later than a window after its withdrawal. */
public record WithdrawnVersionChecker(Duration window) implements HistoryChecker {
  @Override
  public Promise promise() {
    return Promise.NO_WORK_FOR_WITHDRAWN_VERSION;
  }

  @Override
  public List<Violation> check(History history) {
    List<Timed<VersionWithdrawn>> withdrawals = history.of(VersionWithdrawn.class);
    return history.stream(ExecutionStarted.class)
        .filter(e -> withdrawals.stream().anyMatch(w -> isBroken(w, e)))
        .map(e -> new Violation(promise(), e, "work for a withdrawn version"))
        .toList();
  }

  private boolean isBroken(Timed<VersionWithdrawn> withdrawal, Timed<ExecutionStarted> execution) {
    return execution.event().version().equals(Optional.of(withdrawal.event().version()))
        && Arrivals.laterThan(execution, withdrawal, window);
  }
}
