package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.Optional;
import org.guavagw.gateway.model.BackendServer;

/**
 * Checks the attempts of an exchange periodically and cancels those that are stalled if another
 * backend server can take over, and those that are likely to end their server. Reports those that
 * are slow while they still wait. Traffic thread only.
 */
final class StalledAttemptMonitor {
  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final Exchange exchange;

  StalledAttemptMonitor(ExchangeDependencies shared, AdmittedRequest request, Exchange exchange) {
    this.shared = shared;
    this.request = request;
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
    Optional<AttemptFailure> reason = cancellationReason(progress.get(), readUntil, now);
    // If no retry is possible, the current attempt still has the best chance.
    if (reason.isPresent() && exchange.retryTarget(now).isPresent()) {
      exchange.cancelAttempt(reason.get());
      return false;
    }
    return true;
  }

  private Optional<AttemptFailure> cancellationReason(
      AttemptProgress progress, long readUntil, long now) {
    StalledAttemptPolicy.Observation observation =
        progress.observe(readUntil, now, exchange.deadlineNanos());
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
