package org.guavagw.gateway.internal.relay;

import java.util.Optional;
import org.guavagw.gateway.internal.rollout.WorkKind;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.Route;

/**
 * Reports the outcomes of the attempts of one request to placement, sessions and rollouts. Traffic
 * thread only.
 */
final class OutcomeReporter {
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final ExchangeDependencies shared;
  private final Route route;
  private final boolean readsPrompt;
  private final RequestPlan plan;

  OutcomeReporter(ExchangeDependencies shared, AdmittedRequest request, RequestPlan plan) {
    this.shared = shared;
    this.route = request.route();
    this.readsPrompt = request.caller().promptTokens() > 0;
    this.plan = plan;
  }

  /** Reports a successful answer. */
  void reportSuccess(BackendServer server) {
    long now = shared.ticker().read();
    shared.loads().onOutcome(server, true, now);
    shared.versions().onServed(plan.session(), server.version(), now);
    shared.rollouts().onSuccess(plan.service(), server.version(), route.name());
  }

  /** Reports that the answer to an attempt begins now. */
  void reportBegin(AttemptProgress attempt, Optional<String> model, long now) {
    double millis = millisSince(attempt, now);
    reportTiming(attempt, model, millis);
    if (readsPrompt) {
      shared.metrics().onFirstEvent(attempt.estimate().toMillis(), Math.round(millis));
    } else if (attempt.isComparable()) {
      shared.loads().onTime(attempt.server(), "plain/" + route.name(), millis, attempt.sentNanos());
    }
  }

  /** Reports an attempt whose answer has not begun if it is very slow by now. */
  void reportIfVerySlow(AttemptProgress attempt, Optional<String> model, long now) {
    double millis = millisSince(attempt, now);
    if (shared.rollouts().isVerySlow(plan.service(), workKind(model), millis)) {
      reportTiming(attempt, model, millis);
    }
  }

  private void reportTiming(AttemptProgress attempt, Optional<String> model, double millis) {
    // Engines process their requests in batches, so that their load says less.
    boolean comparable = readsPrompt || attempt.isComparable();
    if (comparable && attempt.markTimed()) {
      BackendServer server = attempt.server();
      shared
          .rollouts()
          .onTiming(plan.service(), server.version(), route.name(), workKind(model), millis);
    }
  }

  /** Reports the pace of the events of an answer once it is known. */
  void reportPace(AttemptProgress attempt, Optional<String> model) {
    BackendServer server = attempt.server();
    if (server.coldAt(attempt.sentNanos())) {
      return;
    }
    attempt
        .paceMillis()
        .ifPresent(
            millis -> {
              shared
                  .rollouts()
                  .onPace(plan.service(), server.version(), route.name(), workKind(model), millis);
              shared
                  .loads()
                  .onTime(server, "pace/" + model.orElse(""), millis, attempt.sentNanos());
            });
  }

  private static double millisSince(AttemptProgress attempt, long now) {
    return (now - attempt.sentNanos()) / NANOS_PER_MILLI;
  }

  /** Reports an attempt that ended without a usable answer. */
  void reportAttemptFailure(
      AttemptProgress attempt, Optional<String> model, AttemptFailure failure, long now) {
    BackendServer server = attempt.server();
    switch (failure) {
      case UNREACHABLE, SILENT -> shared.loads().onUnreachable(server, now);
      case LATE -> reportTiming(attempt, model, millisSince(attempt, now));
      case NOT_EXECUTED -> shared.loads().onOutcome(server, false, now);
      case STALE_CONNECTION, NO_CONNECTION, WITHDRAWN, NO_MEMORY, QUARANTINED -> {
        // not a failure of the backend server
      }
      default -> reportFailure(server);
    }
  }

  private WorkKind workKind(Optional<String> model) {
    return new WorkKind(route.name() + model.map(m -> "/" + m).orElse(""), readsPrompt);
  }

  /** Reports a failure of a backend server that had received the attempt. */
  void reportFailure(BackendServer server) {
    shared.loads().onOutcome(server, false, shared.ticker().read());
    shared.rollouts().onFailure(plan.service(), server.version(), route.name());
  }
}
