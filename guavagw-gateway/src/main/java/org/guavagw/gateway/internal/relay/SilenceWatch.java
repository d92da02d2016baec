package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.model.BackendServer;

/**
 * Looks at the attempts of an exchange now and then and has those given up that wait in vain, where
 * another backend server could go on. Traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class SilenceWatch {
  private final ExchangeParts parts;
  private final AdmittedRequest request;
  private final Exchange exchange;

  SilenceWatch(ExchangeParts parts, AdmittedRequest request, Exchange exchange) {
    this.parts = parts;
    this.request = request;
    this.exchange = exchange;
  }

  /** Watches an attempt until it has ended. */
  void watch(int attemptNumber) {
    if (request.route().safeToRetry()) {
      parts
          .loop()
          .schedule(
              () -> check(attemptNumber),
              SilencePolicy.CHECK_PERIOD.toMillis(),
              TimeUnit.MILLISECONDS);
    }
  }

  private void check(int attemptNumber) {
    Optional<AttemptProgress> progress = exchange.underWay(attemptNumber);
    if (progress.isEmpty()) {
      return;
    }
    long now = parts.ticker().read();
    Optional<AttemptFailure> reason = reasonToLeave(progress.get(), now);
    // If no other attempt could follow, the one under way is the caller's best hope.
    if (reason.isPresent() && exchange.alternative(now).isPresent()) {
      exchange.giveUp(reason.get());
    } else {
      watch(attemptNumber);
    }
  }

  private Optional<AttemptFailure> reasonToLeave(AttemptProgress progress, long now) {
    SilencePolicy.Signs signs = progress.signs(now);
    return switch (SilencePolicy.judge(request.route(), request.caller().promptTokens(), signs)) {
      case WAIT -> Optional.empty();
      case CHECK_PATH ->
          parts.paths().lost(progress.server(), now)
              ? Optional.of(AttemptFailure.SILENT)
              : Optional.empty();
      case LATE ->
          fasterElsewhere(signs.quiet(), now) ? Optional.of(AttemptFailure.LATE) : Optional.empty();
      case STUCK -> Optional.of(AttemptFailure.SILENT);
    };
  }

  /** Whether another backend server should begin to answer sooner than this one has taken. */
  private boolean fasterElsewhere(Duration waited, long now) {
    Optional<BackendServer> other = exchange.alternative(now);
    return other.isPresent() && exchange.expectedMillis(other.get()) < waited.toMillis();
  }
}
