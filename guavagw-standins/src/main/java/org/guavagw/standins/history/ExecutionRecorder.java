package org.guavagw.standins.history;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.guavagw.standins.engine.Execution;
import org.guavagw.standins.engine.ExecutionLog;
import org.guavagw.standins.engine.Outcome;
import org.guavagw.standins.history.Event.ColdOverload;
import org.guavagw.standins.history.Event.ExecutionEnded;
import org.guavagw.standins.history.Event.ExecutionStarted;
import org.guavagw.standins.service.ServiceCall;
import org.guavagw.standins.service.ServiceCallLog;

/** Records the executions of stand-ins in a history. Thread-safe. */
public final class ExecutionRecorder {
  private static final String NO_DATA_CENTRE = "";

  private final HistoryRecorder recorder;
  private final Map<String, String> dataCentres;

  /** Records with a recorder; {@code dataCentres} maps backend servers to data centres. */
  public ExecutionRecorder(HistoryRecorder recorder, Map<String, String> dataCentres) {
    this.recorder = recorder;
    this.dataCentres = ImmutableMap.copyOf(dataCentres);
  }

  /** Records the executions of engines from now on. */
  public void follow(ExecutionLog log) {
    log.addListener(this::record);
    log.addOverloadListener((server, id) -> recorder.record(new ColdOverload(server, id)));
  }

  /** Records the executions of plain services from now on. */
  public void follow(ServiceCallLog log) {
    log.addListener(this::record);
  }

  private void record(Execution e) {
    if (e.outcome() == Outcome.RUNNING) {
      recorder.record(started(e));
      return;
    }
    boolean complete = e.outcome() == Outcome.FINISHED;
    recorder.record(new ExecutionEnded(e.backendServer(), Optional.of(e.requestId()), complete));
  }

  private ExecutionStarted started(Execution e) {
    return new ExecutionStarted(
        e.backendServer(),
        dataCentres.getOrDefault(e.backendServer(), NO_DATA_CENTRE),
        e.callTag(),
        Optional.of(e.requestId()),
        Optional.of(e.version()),
        e.resumeOffset() > 0,
        e.waited(),
        e.cold(),
        e.concurrency(),
        e.coldSlots());
  }

  private void record(ServiceCall c) {
    recorder.record(
        new ExecutionStarted(
            c.service(),
            dataCentres.getOrDefault(c.service(), NO_DATA_CENTRE),
            c.callTag(),
            c.requestId(),
            Optional.empty(),
            false,
            Duration.ZERO,
            false,
            1,
            Integer.MAX_VALUE));
    recorder.record(new ExecutionEnded(c.service(), c.requestId(), true));
  }
}
