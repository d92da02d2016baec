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

/** Records what the logs of stand-ins tell. Thread-safe. */
public final class ExecutionRecorder {
  private static final String UNKNOWN = "";

  private final HistoryRecorder recorder;
  private final Map<String, String> dataCentres;

  /** Records into a history; {@code dataCentres} gives the data centre of each backend server. */
  public ExecutionRecorder(HistoryRecorder recorder, Map<String, String> dataCentres) {
    this.recorder = recorder;
    this.dataCentres = ImmutableMap.copyOf(dataCentres);
  }

  /** Follows the executions of engines. */
  public void follow(ExecutionLog log) {
    log.addListener(this::record);
    log.addOverloadListener((server, id) -> recorder.record(new ColdOverload(server, id)));
  }

  /** Follows the executions of plain services. */
  public void follow(ServiceCallLog log) {
    log.addListener(this::record);
  }

  private void record(Execution e) {
    if (e.outcome() == Outcome.RUNNING) {
      recorder.record(started(e));
      return;
    }
    boolean whole = e.outcome() == Outcome.FINISHED;
    recorder.record(new ExecutionEnded(e.backendServer(), Optional.of(e.requestId()), whole));
  }

  private ExecutionStarted started(Execution e) {
    return new ExecutionStarted(
        e.backendServer(),
        dataCentres.getOrDefault(e.backendServer(), UNKNOWN),
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
            dataCentres.getOrDefault(c.service(), UNKNOWN),
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
