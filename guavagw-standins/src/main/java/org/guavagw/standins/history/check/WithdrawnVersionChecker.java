package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.Event.VersionWithdrawn;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.Violation;

/** No request for a version arrives later than a window after its withdrawal. */
public record WithdrawnVersionChecker(Duration window) implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.NO_WORK_FOR_WITHDRAWN_VERSION;
  }

  @Override
  public List<Violation> check(History history) {
    List<ExclusionPeriod<VersionRef>> exclusions =
        ExclusionPeriod.permanent(history.of(VersionWithdrawn.class), VersionWithdrawn::version);
    return history.stream(ExecutionStarted.class)
        .filter(e -> e.event().version().isPresent())
        .filter(
            e -> exclusions.stream().anyMatch(x -> x.forbids(e.event().version().get(), e, window)))
        .map(e -> new Violation(invariant(), e, "request for a withdrawn version"))
        .toList();
  }
}
