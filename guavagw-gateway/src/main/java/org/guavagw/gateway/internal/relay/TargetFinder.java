package org.guavagw.gateway.internal.relay;

import java.util.Optional;
import java.util.Set;
import org.guavagw.gateway.internal.cascade.AttemptEstimate;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * Finds backend servers for one request, by what is known when it is asked. Traffic thread only.
 */
final class TargetFinder {
  private static final double NANOS_PER_MILLI = 1_000_000;

  private final ExchangeParts parts;
  private final AdmittedRequest request;
  private final RequestPlan plan;

  TargetFinder(ExchangeParts parts, AdmittedRequest request, RequestPlan plan) {
    this.parts = parts;
    this.request = request;
    this.plan = plan;
  }

  Optional<BackendServer> choose(Optional<String> model, Set<String> excluded, long now) {
    return parts
        .chooser()
        .choose(
            parts.currentView().get(),
            plan.service(),
            plan.session(),
            request,
            model.orElse(""),
            excluded,
            now);
  }

  /** Time until a backend server would begin to answer. */
  double expectedMillis(BackendServer server, String model) {
    CallerRequest caller = request.caller();
    return parts.loads().expectedMillis(server, model, caller.prompt(), caller.promptTokens());
  }

  /** What to expect if a model were asked now. */
  AttemptEstimate outlook(String model) {
    long now = parts.ticker().read();
    double expected =
        choose(Optional.of(model), Set.of(), now)
            .map(s -> expectedMillis(s, model))
            .orElse(Double.MAX_VALUE);
    double elapsed = (now - request.arrivedNanos()) / NANOS_PER_MILLI;
    return new AttemptEstimate(expected, request.route().objective().toMillis() - elapsed);
  }
}
