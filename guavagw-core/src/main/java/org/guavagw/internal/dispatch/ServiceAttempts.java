package org.guavagw.internal.dispatch;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.PlainServiceConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.engine.BackendAddress;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.Usage;
import org.guavagw.internal.explain.AttemptRecord;
import org.guavagw.internal.explain.CandidateKind;
import org.guavagw.internal.limits.Outcome;
import org.guavagw.internal.limits.RequestClass;
import org.guavagw.internal.pipeline.Answered;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.Spend;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementQuery;
import org.guavagw.internal.placement.PlacementTarget;
import org.guavagw.internal.service.ServiceAnswer;
import org.guavagw.internal.service.ServiceCall;
import org.guavagw.internal.service.ServiceClient;

/**
 * The attempts to make one call to a plain service. Confined to the request's thread.
 *
 * <p>Invariant: a call that may not be repeated is sent again only after attempts that provably did
 * not run it.
 */
final class ServiceAttempts {
  private static final int MAX_ATTEMPTS = 3;
  private static final String SERVICE_VERSION = "service";

  private final DispatchParts parts;
  private final ServiceClient services;
  private final Exchange exchange;
  private final ServiceCall call;
  private final boolean repeatable;
  private final Set<String> excluded = new HashSet<>();
  private RunState runState = RunState.NOT_RUN;
  private Optional<Refusal> lastRefusal = Optional.empty();

  ServiceAttempts(DispatchParts parts, ServiceClient services, Exchange exchange) {
    this.parts = parts;
    this.services = services;
    this.exchange = exchange;
    this.call = exchange.service().call();
    this.repeatable =
        parts
            .guard()
            .config()
            .plainService(call.service())
            .filter(s -> isRepeatable(s, call))
            .isPresent();
  }

  Either<Refusal, Answered> run() {
    parts.retries().onFirstAttempt();
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0 && !parts.retries().tryRetry()) {
        break;
      }
      Either<Refusal, Placement> placed = place();
      if (placed.isLeft()) {
        return Either.left(lastRefusal.orElse(placed.getLeft()));
      }
      BackendServerConfig server = placed.get().server();
      Either<EngineFailure, ServiceAnswer> answer = send(server);
      if (answer.isRight()) {
        addSpend(server);
        exchange.service().sink().accept(exchange.requestId(), server.id(), answer.get());
        return Either.right(new Answered(server.id(), Usage.NONE));
      }
      noteFailure(server, answer.getLeft());
      if (!mayRepeat(answer.getLeft())) {
        break;
      }
    }
    return Either.left(lastRefusal.orElseThrow());
  }

  private boolean mayRepeat(EngineFailure failure) {
    boolean harmless = repeatable || failure.runState() == RunState.NOT_RUN;
    return harmless && failure.isWorthRetrying();
  }

  private Either<Refusal, Placement> place() {
    if (timeLeft().isNegative() || timeLeft().isZero()) {
      return Either.left(
          Refusal.of(RefusalCode.DEADLINE_PASSED, runState, "the deadline has passed"));
    }
    PlacementQuery query =
        new PlacementQuery(
            parts.index().current(),
            new PlacementTarget.Service(call.service()),
            parts.localDataCentre(),
            OptionalLong.empty(),
            RequestClass.INTERACTIVE,
            excluded);
    return parts
        .placement()
        .choose(query)
        .mapLeft(
            none ->
                new Refusal(
                    RefusalCode.NO_BACKEND,
                    runState,
                    "no backend server can take \"" + call.service() + "\" now",
                    Optional.of(none.retryAfter())));
  }

  private Either<EngineFailure, ServiceAnswer> send(BackendServerConfig server) {
    long start = parts.clocks().monotonic().read();
    exchange.trace().chose(CandidateKind.BACKEND_SERVER, server.id());
    parts.views().onDispatched(server.id());
    Either<EngineFailure, ServiceAnswer> answer = sendIfStillAllowed(server);
    Duration took = Duration.ofNanos(parts.clocks().monotonic().read() - start);
    parts
        .views()
        .onFinished(server.id(), answer.fold(Outcomes::of, a -> Outcome.completed(took.toNanos())));
    String what = answer.fold(f -> f.kind().name(), a -> "STATUS_" + a.status());
    RunState ran = answer.fold(EngineFailure::runState, a -> RunState.RAN);
    exchange.trace().attempt(new AttemptRecord(server.id(), call.service(), what, ran, took));
    return answer;
  }

  private Either<EngineFailure, ServiceAnswer> sendIfStillAllowed(BackendServerConfig server) {
    if (!parts.guard().takesWork(server.id())) {
      return Either.left(
          new EngineFailure(EngineFailure.Kind.NOT_SENT, "the backend server takes no new work"));
    }
    BackendAddress address = new BackendAddress(server.id(), server.host(), server.port());
    return services.call(address, exchange.requestId(), call, repeatable, timeLeft());
  }

  private void addSpend(BackendServerConfig server) {
    long price =
        parts
            .guard()
            .config()
            .plainService(call.service())
            .map(PlainServiceConfig::microsPerCall)
            .orElse(0L);
    VersionRef service = new VersionRef(call.service(), SERVICE_VERSION);
    exchange.spend().add(new Spend(service, server.id(), Usage.NONE, price));
  }

  private void noteFailure(BackendServerConfig server, EngineFailure failure) {
    excluded.add(server.id());
    runState = runState.join(failure.runState());
    RefusalCode code =
        runState == RunState.NOT_RUN ? RefusalCode.NO_BACKEND : RefusalCode.OUTCOME_UNKNOWN;
    lastRefusal = Optional.of(Refusal.of(code, runState, failure.reason()));
  }

  private static boolean isRepeatable(PlainServiceConfig service, ServiceCall call) {
    return service.isRepeatable(call.method(), call.path());
  }

  private Duration timeLeft() {
    return Duration.ofNanos(exchange.terms().deadlineNanos() - parts.clocks().monotonic().read());
  }
}
