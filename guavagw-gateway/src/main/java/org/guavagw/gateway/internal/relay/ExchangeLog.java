package org.guavagw.gateway.internal.relay;

import java.util.Optional;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.placement.PrefillEstimate;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.Team;

/** Log lines and counts of one exchange. Traffic thread only. */
final class ExchangeLog {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ExchangeParts parts;
  private final AdmittedRequest request;

  ExchangeLog(ExchangeParts parts, AdmittedRequest request) {
    this.parts = parts;
    this.request = request;
  }

  void attemptSent(
      BackendServer server,
      Optional<String> model,
      PrefillEstimate work,
      int running,
      double waitingMillis) {
    EventLog.Line line =
        line("attempt_sent")
            .with("backend", server.id())
            .with("backend_version", server.version())
            .with("data_centre", server.dataCentre())
            .with("running_there", running)
            .with("waiting_there_ms", Math.round(waitingMillis))
            .with("tokens_to_read", work.tokens())
            .with("reading_ms", Math.round(work.millis()));
    model.ifPresent(m -> line.with("model", m));
    line.write();
  }

  void attemptFailed(BackendServer server, AttemptFailure failure, int events, long sentNanos) {
    parts.metrics().onAttemptFailed(failure.name());
    failure("attempt_failed")
        .with("backend", server.id())
        .with("backend_version", server.version())
        .with("data_centre", server.dataCentre())
        .with("failure", failure.name())
        .with("events_passed", events)
        .with("after_ms", (parts.ticker().read() - sentNanos) / NANOS_PER_MILLI)
        .write();
  }

  void answerDropped(String model, int confidence) {
    line("answer_dropped").with("model", model).with("confidence", confidence).write();
  }

  void ended(End end, Optional<String> model, Optional<BackendServer> server) {
    long millis = (parts.ticker().read() - request.arrivedNanos()) / NANOS_PER_MILLI;
    parts.metrics().onRequest(request.route().kind().name(), end.status(), millis);
    boolean failed = end.status() == 0 || end.status() >= 500;
    EventLog.Line line =
        (failed ? failure("request") : line("request"))
            .with("route", request.route().name())
            .with("team", request.team().map(Team::name).orElse(""))
            .with("outcome", end.outcome())
            .with("status", end.status())
            .with("ms", millis)
            .with("executed", end.executed())
            .with("turned_away", end.turnedAway())
            .with("config_version", request.configVersion())
            .with("orders_age_ms", parts.currentView().ordersAge().toMillis());
    model.ifPresent(m -> line.with("model", m));
    server.ifPresent(s -> line.with("backend", s.id()).with("backend_version", s.version()));
    if (end.firstEventNanos() > 0) {
      long first = (end.firstEventNanos() - request.arrivedNanos()) / NANOS_PER_MILLI;
      line.with("first_event_ms", first).with("events", end.events());
    }
    line.write();
  }

  private EventLog.Line failure(String event) {
    return parts.log().failure(event).with("id", request.caller().id());
  }

  private EventLog.Line line(String event) {
    return parts.log().event(event).with("id", request.caller().id());
  }

  /**
   * How an exchange ended. Immutable.
   *
   * @param executed attempts that may have run
   * @param firstEventNanos when the first event was passed on; 0 if none was
   */
  record End(
      String outcome, int status, int executed, int turnedAway, long firstEventNanos, int events) {}
}
