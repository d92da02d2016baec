package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.Event.ServerJoined;
import org.guavagw.standins.history.Event.ServerLeaving;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Promise;
import org.guavagw.standins.history.Timed;
import org.guavagw.standins.history.Violation;

/** No request arrives at a backend server later than a window after it was told to leave. */
public record LeavingServerChecker(Duration window) implements HistoryChecker {
  @Override
  public Promise promise() {
    return Promise.NO_WORK_FOR_LEAVING_SERVER;
  }

  @Override
  public List<Violation> check(History history) {
    return history.stream(ExecutionStarted.class)
        .filter(e -> history.stream(ServerLeaving.class).anyMatch(l -> isBroken(history, l, e)))
        .map(e -> new Violation(promise(), e, "work for a leaving backend server"))
        .toList();
  }

  private boolean isBroken(
      History history, Timed<ServerLeaving> leaving, Timed<ExecutionStarted> execution) {
    return leaving.event().server().equals(execution.event().server())
        && Arrivals.laterThan(execution, leaving, window)
        && !joinedBetween(history, leaving, execution);
  }

  private static boolean joinedBetween(
      History history, Timed<ServerLeaving> leaving, Timed<ExecutionStarted> execution) {
    return history.stream(ServerJoined.class)
        .filter(j -> j.event().server().equals(leaving.event().server()))
        .anyMatch(j -> leaving.isBefore(j) && j.nanos() <= Arrivals.nanos(execution));
  }
}
