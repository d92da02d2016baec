package org.guavagw.gateway.internal.relay;

import java.util.Optional;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.placement.PrefillEstimate;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.Team;
import org.guavagw.gateway.spi.PromptPart;

/** Writes the log lines and metrics of one exchange. Traffic thread only. */
final class ExchangeLog {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final String fingerprint;

  ExchangeLog(ExchangeDependencies shared, AdmittedRequest request, String fingerprint) {
    this.shared = shared;
    this.request = request;
    this.fingerprint = fingerprint;
  }

  void attemptSent(
      BackendServer server,
      Optional<String> model,
      PrefillEstimate prefill,
      int inFlight,
      double pendingPrefillMillis) {
    EventLog.Line line =
        line("attempt_sent")
            .with("backend", server.id())
            .with("backend_version", server.version())
            .with("data_centre", server.dataCentre())
            .with("running_there", inFlight)
            .with("waiting_there_ms", Math.round(pendingPrefillMillis))
            .with("speed_percent", Math.round(shared.loads().speed(server) * 100))
            .with("tokens_to_read", prefill.tokens())
            .with("reading_ms", Math.round(prefill.millis()));
    model.ifPresent(m -> line.with("model", m));
    line.write();
  }

  void attemptFailed(AttemptProgress attempt, AttemptFailure failure, int events) {
    shared.metrics().onAttemptFailed(failure.name());
    BackendServer server = attempt.server();
    EventLog.Line line =
        failure("attempt_failed")
            .with("backend", server.id())
            .with("backend_version", server.version())
            .with("data_centre", server.dataCentre())
            .with("failure", failure.name())
            .with("events_passed", events)
            .with("after_ms", (shared.ticker().read() - attempt.sentNanos()) / NANOS_PER_MILLI);
    if (failure.connectionLost() && !attempt.hasEvents()) {
      // Servers that end one after the other may end under one request that comes again, or under
      // requests with a part in common.
      line.with("fingerprint", fingerprint).with("prompt", promptIds());
    }
    line.write();
  }

  private String promptIds() {
    return request.caller().prompt().stream().map(PromptPart::id).collect(Collectors.joining(","));
  }

  void answerDropped(String model, int confidence) {
    line("answer_dropped").with("model", model).with("confidence", confidence).write();
  }

  void forwarded(String entry) {
    shared.metrics().onForwarded();
    line("request_forwarded")
        .with("to", entry)
        .with("reason", "this entry reaches no backend server of the service")
        .write();
  }

  void ended(Summary summary, Optional<String> model, Optional<BackendServer> server) {
    long millis = (shared.ticker().read() - request.arrivedNanos()) / NANOS_PER_MILLI;
    shared.metrics().onRequest(request.route().kind().name(), summary.status(), millis);
    boolean failed = summary.status() == 0 || summary.status() >= 500;
    EventLog.Line line =
        (failed ? failure("request") : line("request"))
            .with("route", request.route().name())
            .with("team", request.team().map(Team::name).orElse(""))
            .with("outcome", summary.outcome())
            .with("status", summary.status())
            .with("ms", millis)
            .with("executed", summary.executed())
            .with("turned_away", summary.turnedAway())
            .with("config_version", request.configVersion())
            .with("orders_age_ms", shared.currentView().ordersAge().toMillis());
    model.ifPresent(m -> line.with("model", m));
    server.ifPresent(s -> line.with("backend", s.id()).with("backend_version", s.version()));
    if (summary.firstEventNanos() > 0) {
      long first = (summary.firstEventNanos() - request.arrivedNanos()) / NANOS_PER_MILLI;
      line.with("first_event_ms", first).with("events", summary.events());
    }
    line.write();
  }

  private EventLog.Line failure(String event) {
    return shared.log().failure(event).with("id", request.caller().id());
  }

  private EventLog.Line line(String event) {
    return shared.log().event(event).with("id", request.caller().id());
  }

  /**
   * How an exchange ended. Immutable.
   *
   * @param executed attempts that may have been executed
   * @param turnedAway attempts that backend servers turned away without executing them
   * @param firstEventNanos time at which the first event was forwarded; 0 if none was
   */
  record Summary(
      String outcome, int status, int executed, int turnedAway, long firstEventNanos, int events) {
    static Summary of(String outcome, int status, AttemptCounts counts, CallerStream stream) {
      return new Summary(
          outcome,
          status,
          counts.executed(),
          counts.turnedAway(),
          stream.firstEventNanos(),
          stream.events());
    }
  }
}
