package org.guavagw.gateway.internal.relay;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import org.guavagw.gateway.internal.placement.LoadTracker;
import org.guavagw.gateway.internal.placement.PrefillEstimate;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.EngineSpec;
import org.guavagw.gateway.model.ServiceSpec;
import org.guavagw.gateway.spi.AttemptHead;

/** Sends the attempts of one request and records them where limits and loads are kept. */
final class AttemptSender {
  /**
   * Connections that an entry may always have to a backend server, even if its share of that
   * server's connection limit is smaller.
   */
  private static final int MIN_CONNECTIONS = 4;

  /**
   * Part of a backend server's slots up to which the load doesn't make its answers slower; beyond
   * it their times say little of its version.
   */
  private static final double COMPARABLE_LOAD = 0.5;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final RequestPlan plan;
  private final ExchangeLog log;

  AttemptSender(
      ExchangeDependencies shared, AdmittedRequest request, RequestPlan plan, ExchangeLog log) {
    this.shared = shared;
    this.request = request;
    this.plan = plan;
    this.log = log;
  }

  /** Records an attempt that is about to be sent and starts to track its progress. */
  AttemptProgress begin(BackendServer chosen, Optional<String> model, long now) {
    shared.coldStartLimiter().onSent(chosen, now);
    shared.availability().onSent(chosen, now);
    LoadTracker loads = shared.loads();
    long cacheTokens =
        service().flatMap(ServiceSpec::engine).map(EngineSpec::cacheTokens).orElse(0L);
    double pendingPrefillMillis = loads.totalPendingPrefillMillis(chosen);
    PrefillEstimate prefill =
        loads.onSent(
            chosen,
            model.orElse(""),
            request.caller().prompt(),
            request.caller().promptTokens(),
            cacheTokens,
            request.caller().answerTokens());
    log.attemptSent(
        chosen,
        model,
        prefill,
        loads.totalInFlight(chosen),
        loads.totalPendingPrefillMillis(chosen));
    shared.metrics().onPlaced(reason(chosen, prefill));
    boolean comparable =
        loads.totalInFlight(chosen) <= Math.max(1, COMPARABLE_LOAD * chosen.slots());
    return new AttemptProgress(
        loads,
        chosen,
        prefill,
        pendingPrefillMillis + prefill.fixedMillis() + prefill.millis(),
        comparable,
        now);
  }

  private String reason(BackendServer chosen, PrefillEstimate prefill) {
    if (!chosen.dataCentre().equals(shared.members().get().localDataCentre())) {
      return "other_data_centre";
    }
    return prefill.tokens() < request.caller().promptTokens() ? "kept_prompt" : "local";
  }

  /**
   * Sends an attempt; the forwarder may learn of its failure before this method returns.
   *
   * @param resumeAfter id of the last event that the caller has
   * @param stillWanted asked at the last moment before the attempt is sent on a new connection
   */
  Attempt send(
      BackendServer chosen,
      Optional<String> model,
      OptionalLong resumeAfter,
      BooleanSupplier stillWanted,
      AnswerForwarder forwarder,
      long now) {
    int share =
        service()
            .map(s -> s.maxConnections() / shared.members().get().count())
            .orElse(MIN_CONNECTIONS);
    AttemptHead head =
        new AttemptHead(
            chosen,
            request.team(),
            Math.max(1, (plan.deadlineNanos() - now) / NANOS_PER_MILLI),
            model,
            resumeAfter,
            plan.priority());
    OutgoingRequest outgoing =
        new OutgoingRequest(
            request.caller().id(),
            request.head().method(),
            request.head().uri(),
            shared.format().attemptHeaders(request.head(), head),
            request.body(),
            request.chunked(),
            !request.route().safeToRetry() || request.route().maxAttempts() == 1,
            stillWanted);
    return shared.pool().send(chosen, Math.max(MIN_CONNECTIONS, share), outgoing, forwarder);
  }

  private Optional<ServiceSpec> service() {
    return shared
        .currentView()
        .get()
        .config()
        .flatMap(c -> Optional.ofNullable(c.services().get(plan.service())));
  }
}
