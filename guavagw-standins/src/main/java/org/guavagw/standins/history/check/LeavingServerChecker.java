package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.Event.ServerJoined;
import org.guavagw.standins.history.Event.ServerLeaving;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.Violation;

/** No request arrives at a backend server later than a window after it was told to leave. */
public record LeavingServerChecker(Duration window) implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.NO_WORK_FOR_LEAVING_SERVER;
  }

  @Override
  public List<Violation> check(History history) {
    List<ExclusionPeriod<String>> exclusions =
        ExclusionPeriod.between(
            history.of(ServerLeaving.class),
            ServerLeaving::server,
            history.of(ServerJoined.class),
            ServerJoined::server);
    return history.stream(ExecutionStarted.class)
        .filter(e -> exclusions.stream().anyMatch(x -> x.forbids(e.event().server(), e, window)))
        .map(e -> new Violation(invariant(), e, "request for a leaving backend server"))
        .toList();
  }
}
