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
import org.guavagw.internal.engine.TokenUsage;
import org.guavagw.internal.explain.AttemptRecord;
import org.guavagw.internal.explain.CandidateKind;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.RequestClass;
import org.guavagw.internal.pipeline.AttemptCost;
import org.guavagw.internal.pipeline.CompletedAnswer;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementQuery;
import org.guavagw.internal.placement.PlacementTarget;
import org.guavagw.internal.service.ServiceAnswer;
import org.guavagw.internal.service.ServiceCall;
import org.guavagw.internal.service.ServiceClient;

/**
 * Makes the attempts for one call to a plain service. Confined to the request's thread.
 *
 * <p>Invariant: a call that may not be repeated is retried only if every earlier attempt provably
 * did not run it.
 */
final class ServiceAttempts {
  private static final int MAX_ATTEMPTS = 3;
  private static final String SERVICE_VERSION = "service";

  private final DispatchDependencies dependencies;
  private final ServiceClient services;
  private final Exchange exchange;
  private final ServiceCall call;
  private final boolean repeatable;
  private final Set<String> excluded = new HashSet<>();
  private RunState runState = RunState.NOT_RUN;
  private Optional<Refusal> lastRefusal = Optional.empty();

  ServiceAttempts(DispatchDependencies dependencies, ServiceClient services, Exchange exchange) {
    this.dependencies = dependencies;
    this.services = services;
    this.exchange = exchange;
    this.call = exchange.service().call();
    this.repeatable =
        dependencies
            .guard()
            .config()
            .plainService(call.service())
            .filter(s -> isRepeatable(s, call))
            .isPresent();
  }

  Either<Refusal, CompletedAnswer> run() {
    dependencies.retries().onFirstAttempt();
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (attempt > 0 && !dependencies.retries().tryRetry()) {
        break;
      }
      Either<Refusal, Placement> chosen = place();
      if (chosen.isLeft()) {
        return Either.left(lastRefusal.orElse(chosen.getLeft()));
      }
      BackendServerConfig server = chosen.get().server();
      Either<EngineFailure, ServiceAnswer> answer = send(server);
      if (answer.isRight()) {
        addCost(server);
        exchange.service().sink().accept(exchange.requestId(), server.id(), answer.get());
        return Either.right(new CompletedAnswer(server.id(), TokenUsage.UNKNOWN));
      }
      recordFailure(server, answer.getLeft());
      if (!mayRetry(answer.getLeft())) {
        break;
      }
    }
    return Either.left(lastRefusal.orElseThrow());
  }

  private boolean mayRetry(EngineFailure failure) {
    boolean safeToRetry = repeatable || failure.runState() == RunState.NOT_RUN;
    return safeToRetry && failure.isWorthRetrying();
  }

  private Either<Refusal, Placement> place() {
    if (timeLeft().isNegative() || timeLeft().isZero()) {
      return Either.left(
          Refusal.of(RefusalCode.DEADLINE_PASSED, runState, "the deadline has passed"));
    }
    PlacementQuery query =
        new PlacementQuery(
            dependencies.index().current(),
            new PlacementTarget.Service(call.service()),
            dependencies.localDataCentre(),
            OptionalLong.empty(),
            RequestClass.INTERACTIVE,
            excluded);
    return dependencies
        .placement()
        .choose(query)
        .mapLeft(
            none ->
                new Refusal(
                    RefusalCode.NO_BACKEND,
                    runState,
                    "no backend server accepts calls to \"" + call.service() + "\" now",
                    Optional.of(none.retryAfter())));
  }

  private Either<EngineFailure, ServiceAnswer> send(BackendServerConfig server) {
    long start = dependencies.clocks().monotonic().read();
    exchange.trace().chose(CandidateKind.BACKEND_SERVER, server.id());
    dependencies.views().onDispatched(server.id());
    Either<EngineFailure, ServiceAnswer> answer = sendIfStillAllowed(server);
    Duration took = Duration.ofNanos(dependencies.clocks().monotonic().read() - start);
    dependencies
        .views()
        .onFinished(
            server.id(),
            answer.fold(OutcomeMapper::toOutcome, a -> AttemptOutcome.completed(took.toNanos())));
    String result = answer.fold(f -> f.kind().name(), a -> "STATUS_" + a.status());
    RunState ran = answer.fold(EngineFailure::runState, a -> RunState.RAN);
    exchange.trace().attempt(new AttemptRecord(server.id(), call.service(), result, ran, took));
    return answer;
  }

  private Either<EngineFailure, ServiceAnswer> sendIfStillAllowed(BackendServerConfig server) {
    if (!dependencies.guard().acceptsRequests(server.id())) {
      return Either.left(
          new EngineFailure(
              EngineFailure.Kind.NOT_SENT, "the backend server accepts no new requests"));
    }
    BackendAddress address = new BackendAddress(server.id(), server.host(), server.port());
    return services.call(address, exchange.requestId(), call, repeatable, timeLeft());
  }

  private void addCost(BackendServerConfig server) {
    long price =
        dependencies
            .guard()
            .config()
            .plainService(call.service())
            .map(PlainServiceConfig::microsPerCall)
            .orElse(0L);
    VersionRef service = new VersionRef(call.service(), SERVICE_VERSION);
    exchange.cost().add(new AttemptCost(service, server.id(), TokenUsage.UNKNOWN, price));
  }

  private void recordFailure(BackendServerConfig server, EngineFailure failure) {
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
    return Duration.ofNanos(
        exchange.metadata().deadlineNanos() - dependencies.clocks().monotonic().read());
  }
}
