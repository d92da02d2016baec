package org.guavagw.internal.pipeline;

import com.google.common.flogger.FluentLogger;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.config.PlainServiceConfig;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.engine.TokenUsage;
import org.guavagw.internal.once.ClaimResult;
import org.guavagw.internal.once.IdempotencyClaim;
import org.guavagw.internal.once.IdempotencyFailure;
import org.guavagw.internal.once.IdempotencyKey;
import org.guavagw.internal.once.IdempotencyRegistry;
import org.guavagw.internal.once.StoredOutcome;
import org.guavagw.internal.service.ServiceAnswer;
import org.guavagw.internal.service.ServiceAnswerSink;
import org.guavagw.internal.service.ServiceCall;

/**
 * Ensures that a service call with an idempotency key runs at most once, and answers repetitions
 * with the stored outcome. Calls without a key, and calls that the service declares repeatable, are
 * passed on unchanged. Thread-safe.
 */
public final class IdempotencyFilter implements Filter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_AFTER_STORE_FAILURE = Duration.ofSeconds(5);
  private static final Duration RETRY_AFTER_IN_PROGRESS = Duration.ofSeconds(1);
  private static final String REPLAY_SOURCE = "stored-outcome";
  private static final String REPLAY_OF_HEADER = "X-Guavagw-Replay-Of";

  private final ConfigSource configs;
  private final IdempotencyRegistry registry;

  /** Creates the filter. */
  public IdempotencyFilter(ConfigSource configs, IdempotencyRegistry registry) {
    this.configs = configs;
    this.registry = registry;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    ServiceCall call = exchange.service().call();
    Optional<String> key = exchange.metadata().idempotencyKey();
    if (key.isEmpty() || isRepeatable(call)) {
      return next.proceed(exchange);
    }
    IdempotencyKey registryKey =
        new IdempotencyKey(exchange.requireTeam().id(), call.service(), key.get());
    Either<IdempotencyFailure, ClaimResult> claimed =
        registry.claim(registryKey, fingerprint(call), exchange.requestId());
    if (claimed.isLeft()) {
      return Either.left(storeUnavailable());
    }
    return handle(claimed.get(), exchange, next);
  }

  private Either<Refusal, CompletedAnswer> handle(
      ClaimResult result, Exchange exchange, FilterChain next) {
    if (result instanceof ClaimResult.Claimed claimed) {
      return runOnce(claimed.claim(), exchange, next);
    }
    if (result instanceof ClaimResult.Replay replay) {
      return replay(exchange, replay.outcome());
    }
    if (result instanceof ClaimResult.InProgress progress) {
      return Either.left(
          new Refusal(
              RefusalCode.REPEAT_IN_PROGRESS,
              RunState.NOT_RUN,
              "request " + progress.requestId() + " with the same key is still running",
              Optional.of(RETRY_AFTER_IN_PROGRESS)));
    }
    if (result instanceof ClaimResult.OutcomeUnknown unknown) {
      return Either.left(
          Refusal.of(
              RefusalCode.OUTCOME_UNKNOWN,
              RunState.UNKNOWN,
              "request "
                  + unknown.requestId()
                  + " with the same key ended without a stored outcome"));
    }
    return Either.left(
        Refusal.notRun(
            RefusalCode.KEY_REUSED, "the idempotency key was used for a different call"));
  }

  private Either<Refusal, CompletedAnswer> runOnce(
      IdempotencyClaim claim, Exchange exchange, FilterChain next) {
    ServiceAnswerSink callerSink = exchange.service().sink();
    ServiceAnswerSink storingSink =
        (id, server, answer) -> {
          storeOutcome(claim, answer);
          callerSink.accept(id, server, answer);
        };
    Either<Refusal, CompletedAnswer> result = next.proceed(exchange.withServiceSink(storingSink));
    if (result.isLeft() && result.getLeft().runState() == RunState.NOT_RUN) {
      registry.abandon(claim);
    }
    return result;
  }

  private void storeOutcome(IdempotencyClaim claim, ServiceAnswer answer) {
    Map<String, List<String>> headers = new TreeMap<>();
    headers.put(REPLAY_OF_HEADER, new ArrayList<>(List.of(claim.requestId())));
    answer
        .headers()
        .forEach(h -> headers.computeIfAbsent(h.name(), n -> new ArrayList<>()).add(h.value()));
    registry
        .complete(claim, new StoredOutcome(answer.status(), headers, answer.body()))
        .peekLeft(
            f -> logger.atWarning().log("outcome of %s not stored: %s", claim.requestId(), f));
  }

  private static Either<Refusal, CompletedAnswer> replay(Exchange exchange, StoredOutcome outcome) {
    List<ServiceCall.Header> headers = new ArrayList<>();
    outcome
        .headers()
        .forEach(
            (name, values) -> values.forEach(v -> headers.add(new ServiceCall.Header(name, v))));
    ServiceAnswer answer = new ServiceAnswer(outcome.status(), headers, outcome.body());
    exchange.service().sink().accept(exchange.requestId(), REPLAY_SOURCE, answer);
    return Either.right(new CompletedAnswer(REPLAY_SOURCE, TokenUsage.UNKNOWN));
  }

  private boolean isRepeatable(ServiceCall call) {
    Optional<PlainServiceConfig> service = configs.current().config().plainService(call.service());
    return service.filter(s -> s.isRepeatable(call.method(), call.path())).isPresent();
  }

  private static String fingerprint(ServiceCall call) {
    Hasher hasher = Hashing.sha256().newHasher();
    hasher.putString(call.method(), StandardCharsets.UTF_8).putByte((byte) 0);
    hasher.putString(call.path(), StandardCharsets.UTF_8).putByte((byte) 0);
    return hasher.putBytes(call.body()).hash().toString();
  }

  private static Refusal storeUnavailable() {
    return Refusal.notRun(
        RefusalCode.STORE_UNAVAILABLE,
        "the call may run only once, and the table service that ensures this is unavailable",
        RETRY_AFTER_STORE_FAILURE);
  }
}
