package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.standins.history.Event.DataCentreIn;
import org.guavagw.standins.history.Event.DataCentreOut;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Promise;
import org.guavagw.standins.history.Timed;
import org.guavagw.standins.history.Violation;

/** No request arrives in a data centre later than a window after it was taken out. */
public record DataCentreOutChecker(Duration window) implements HistoryChecker {
  @Override
  public Promise promise() {
    return Promise.NO_WORK_FOR_DATA_CENTRE_OUT;
  }

  @Override
  public List<Violation> check(History history) {
    return history.stream(ExecutionStarted.class)
        .filter(e -> history.stream(DataCentreOut.class).anyMatch(o -> isBroken(history, o, e)))
        .map(e -> new Violation(promise(), e, "work in a data centre that is out"))
        .toList();
  }

  private boolean isBroken(
      History history, Timed<DataCentreOut> out, Timed<ExecutionStarted> execution) {
    return out.event().dataCentre().equals(execution.event().dataCentre())
        && Arrivals.laterThan(execution, out, window)
        && !broughtBackBetween(history, out, execution);
  }

  private static boolean broughtBackBetween(
      History history, Timed<DataCentreOut> out, Timed<ExecutionStarted> execution) {
    return history.stream(DataCentreIn.class)
        .filter(i -> i.event().dataCentre().equals(out.event().dataCentre()))
        .anyMatch(i -> out.isBefore(i) && i.nanos() <= Arrivals.nanos(execution));
  }
}
