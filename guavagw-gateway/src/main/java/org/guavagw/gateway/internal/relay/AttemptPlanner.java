package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.guavagw.gateway.internal.cascade.AttemptEstimate;
import org.guavagw.gateway.internal.placement.Placement;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.AnswerHead;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * Selects backend servers for the attempts of one request and estimates when they would answer,
 * from the state at the time of each call. Traffic thread only.
 */
final class AttemptPlanner {
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final RequestPlan plan;

  AttemptPlanner(ExchangeDependencies shared, AdmittedRequest request, RequestPlan plan) {
    this.shared = shared;
    this.request = request;
    this.plan = plan;
  }

  /** Returns the backend server for an attempt that is sent now, if any is eligible. */
  Optional<BackendServer> selectServer(Optional<String> model, Set<String> excluded, long now) {
    return place(model, excluded, now).chosen();
  }

  /** Returns where an attempt that is sent now would go. */
  Placement place(Optional<String> model, Set<String> excluded, long now) {
    return shared
        .selector()
        .place(
            shared.currentView().get(),
            plan.service(),
            plan.session(),
            request,
            model.orElse(""),
            excluded,
            now);
  }

  /** Returns whether a request that found no eligible server may find one soon. */
  boolean mayFindServer(Placement placement) {
    return placement.chosen().isEmpty()
        && !shared.connectivity().isCutOff(plan.service())
        && !BackendSelector.inService(shared.currentView().get(), plan.service()).isEmpty();
  }

  /** Returns when a caller should retry if no backend server can take its request now. */
  Duration retryDelay(boolean turnedAway, long now) {
    Duration unknown =
        turnedAway ? RetryAfterDelays.ALL_BACKEND_SERVERS_FULL : RetryAfterDelays.NO_BACKEND_SERVER;
    return shared
        .selector()
        .untilFirstAccepts(shared.currentView().get(), plan.service(), now)
        .orElse(unknown);
  }

  /** Returns the estimated time until a backend server would begin to answer. */
  double expectedMillis(BackendServer server, String model) {
    CallerRequest caller = request.caller();
    return shared.loads().expectedMillis(server, model, caller.prompt(), caller.promptTokens());
  }

  /** Returns the stronger model that is to answer in place of a weaker one, if any. */
  Optional<String> strongerModel(String weaker, AnswerHead answer) {
    return shared
        .models()
        .escalationModel(request.route(), weaker, answer.confidence(), this::estimate);
  }

  /** Estimates an attempt that uses the model and is sent now. */
  AttemptEstimate estimate(String model) {
    long now = shared.ticker().read();
    double expected =
        selectServer(Optional.of(model), Set.of(), now)
            .map(s -> expectedMillis(s, model))
            .orElse(Double.MAX_VALUE);
    double elapsed = (now - request.arrivedNanos()) / NANOS_PER_MILLI;
    return new AttemptEstimate(expected, request.route().objective().toMillis() - elapsed);
  }
}
