package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.Optional;
import org.guavagw.gateway.model.BackendServer;

/**
 * Checks the attempts of an exchange periodically and cancels those that are stalled if another
 * backend server or, where this entry reaches none, another entry can take over, and those that are
 * likely to end their server. Reports those that are slow while they still wait. Traffic thread
 * only.
 */
final class StalledAttemptMonitor {
  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final ForwardingPolicy forwarding;
  private final Exchange exchange;

  StalledAttemptMonitor(
      ExchangeDependencies shared,
      AdmittedRequest request,
      ForwardingPolicy forwarding,
      Exchange exchange) {
    this.shared = shared;
    this.request = request;
    this.forwarding = forwarding;
    this.exchange = exchange;
  }

  /**
   * Checks an attempt periodically until it has ended; has no effect on routes that are not safe to
   * retry.
   */
  void watch(int attemptNumber) {
    if (request.route().safeToRetry()) {
      shared.checks().add(readUntil -> isStillWatched(attemptNumber, readUntil));
    }
  }

  private boolean isStillWatched(int attemptNumber, long readUntil) {
    Optional<AttemptProgress> progress = exchange.inFlightAttempt(attemptNumber);
    if (progress.isEmpty()) {
      return false;
    }
    long now = shared.ticker().read();
    if (exchange.endangersServer(now)) {
      exchange.cancelAttempt(AttemptFailure.QUARANTINED);
      return false;
    }
    exchange.reportIfVerySlow(now);
    StalledAttemptPolicy.Observation observation =
        progress.get().observe(readUntil, now, exchange.deadlineNanos());
    // If neither a retry nor another entry is possible, the attempt still has the best chance.
    Optional<AttemptFailure> reason =
        cancellationReason(progress.get(), observation, now)
            .filter(r -> exchange.retryTarget(now).isPresent())
            .or(() -> forwardingReason(progress.get(), observation, now));
    reason.ifPresent(exchange::cancelAttempt);
    return reason.isEmpty();
  }

  /** Checks late and stuck attempts, too, as this entry may be cut off from their server. */
  private Optional<AttemptFailure> forwardingReason(
      AttemptProgress progress, StalledAttemptPolicy.Observation observation, long now) {
    return StalledAttemptPolicy.isServerSilent(observation)
            && shared.reachability().isUnreachable(progress.server(), now)
            && forwarding.mayReplace(progress, now)
        ? Optional.of(AttemptFailure.SILENT)
        : Optional.empty();
  }

  private Optional<AttemptFailure> cancellationReason(
      AttemptProgress progress, StalledAttemptPolicy.Observation observation, long now) {
    return switch (StalledAttemptPolicy.evaluate(
        request.route(), request.caller().promptTokens(), observation)) {
      case WAIT -> Optional.empty();
      case CHECK_REACHABILITY ->
          shared.reachability().isUnreachable(progress.server(), now)
              ? Optional.of(AttemptFailure.SILENT)
              : Optional.empty();
      case LATE ->
          fasterServerExists(observation.silence(), now)
              ? Optional.of(AttemptFailure.LATE)
              : Optional.empty();
      case STUCK -> Optional.of(AttemptFailure.SILENT);
    };
  }

  /**
   * Returns whether another backend server should begin to answer in less time than this one has
   * already taken.
   */
  private boolean fasterServerExists(Duration waited, long now) {
    Optional<BackendServer> other = exchange.retryTarget(now);
    return other.isPresent() && exchange.expectedMillis(other.get()) < waited.toMillis();
  }
}
