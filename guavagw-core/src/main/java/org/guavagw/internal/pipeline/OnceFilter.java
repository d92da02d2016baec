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
import org.guavagw.internal.engine.Usage;
import org.guavagw.internal.once.ClaimResult;
import org.guavagw.internal.once.IdempotencyClaim;
import org.guavagw.internal.once.IdempotencyFailure;
import org.guavagw.internal.once.IdempotencyKey;
import org.guavagw.internal.once.IdempotencyRegistry;
import org.guavagw.internal.once.StoredOutcome;
import org.guavagw.internal.service.ServiceAnswer;
import org.guavagw.internal.service.ServiceCall;
import org.guavagw.internal.service.ServiceSink;

/**
 * Lets a keyed call that may not be repeated run at most once, and gives repeats the first outcome.
 * Calls that may be repeated, and calls without a key, pass by. Thread-safe.
 */
public final class OnceFilter implements Filter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final Duration RETRY_AFTER_STORE = Duration.ofSeconds(5);
  private static final Duration RETRY_AFTER_FIRST = Duration.ofSeconds(1);
  private static final String REPLAYED_FROM = "stored-outcome";
  private static final String REPLAY_OF_HEADER = "X-Guavagw-Replay-Of";

  private final ConfigSource configs;
  private final IdempotencyRegistry registry;

  /** Creates the filter. */
  public OnceFilter(ConfigSource configs, IdempotencyRegistry registry) {
    this.configs = configs;
    this.registry = registry;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    ServiceCall call = exchange.service().call();
    Optional<String> key = exchange.terms().idempotencyKey();
    if (key.isEmpty() || isRepeatable(call)) {
      return next.proceed(exchange);
    }
    IdempotencyKey once =
        new IdempotencyKey(exchange.requireTeam().id(), call.service(), key.get());
    Either<IdempotencyFailure, ClaimResult> claimed =
        registry.claim(once, fingerprint(call), exchange.requestId());
    if (claimed.isLeft()) {
      return Either.left(storeUnavailable());
    }
    return act(claimed.get(), exchange, next);
  }

  private Either<Refusal, Answered> act(ClaimResult result, Exchange exchange, Next next) {
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
              "request " + progress.requestId() + " with the same key is under way",
              Optional.of(RETRY_AFTER_FIRST)));
    }
    if (result instanceof ClaimResult.OutcomeUnknown unknown) {
      return Either.left(
          Refusal.of(
              RefusalCode.OUTCOME_UNKNOWN,
              RunState.UNKNOWN,
              "request " + unknown.requestId() + " with the same key ended without an outcome"));
    }
    return Either.left(
        Refusal.notRun(RefusalCode.KEY_REUSED, "the key belongs to a different call"));
  }

  private Either<Refusal, Answered> runOnce(IdempotencyClaim claim, Exchange exchange, Next next) {
    ServiceSink caller = exchange.service().sink();
    ServiceSink keeping =
        (id, server, answer) -> {
          keep(claim, answer);
          caller.accept(id, server, answer);
        };
    Either<Refusal, Answered> result = next.proceed(exchange.withServiceSink(keeping));
    if (result.isLeft() && result.getLeft().runState() == RunState.NOT_RUN) {
      registry.abandon(claim);
    }
    return result;
  }

  private void keep(IdempotencyClaim claim, ServiceAnswer answer) {
    Map<String, List<String>> headers = new TreeMap<>();
    headers.put(REPLAY_OF_HEADER, new ArrayList<>(List.of(claim.requestId())));
    answer
        .headers()
        .forEach(h -> headers.computeIfAbsent(h.name(), n -> new ArrayList<>()).add(h.value()));
    registry
        .complete(claim, new StoredOutcome(answer.status(), headers, answer.body()))
        .peekLeft(f -> logger.atWarning().log("outcome of %s not kept: %s", claim.requestId(), f));
  }

  private static Either<Refusal, Answered> replay(Exchange exchange, StoredOutcome outcome) {
    List<ServiceCall.Header> headers = new ArrayList<>();
    outcome
        .headers()
        .forEach(
            (name, values) -> values.forEach(v -> headers.add(new ServiceCall.Header(name, v))));
    ServiceAnswer answer = new ServiceAnswer(outcome.status(), headers, outcome.body());
    exchange.service().sink().accept(exchange.requestId(), REPLAYED_FROM, answer);
    return Either.right(new Answered(REPLAYED_FROM, Usage.NONE));
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
        "the call may run only once and the platform's table service is away",
        RETRY_AFTER_STORE);
  }
}
