package org.guavagw.standins.history.check;

import java.time.Duration;
import java.util.List;
import org.guavagw.standins.history.Event.DataCentreIn;
import org.guavagw.standins.history.Event.DataCentreOut;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.history.History;
import org.guavagw.standins.history.HistoryChecker;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.Violation;

/** No request arrives in a data centre later than a window after it was taken out of service. */
public record DataCentreOutChecker(Duration window) implements HistoryChecker {
  @Override
  public Invariant invariant() {
    return Invariant.NO_WORK_FOR_DATA_CENTRE_OUT;
  }

  @Override
  public List<Violation> check(History history) {
    List<ExclusionPeriod<String>> exclusions =
        ExclusionPeriod.between(
            history.of(DataCentreOut.class),
            DataCentreOut::dataCentre,
            history.of(DataCentreIn.class),
            DataCentreIn::dataCentre);
    return history.stream(ExecutionStarted.class)
        .filter(
            e -> exclusions.stream().anyMatch(x -> x.forbids(e.event().dataCentre(), e, window)))
        .map(e -> new Violation(invariant(), e, "request in a data centre that is out of service"))
        .toList();
  }
}
