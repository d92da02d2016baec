package org.guavagw.internal.dispatch;

import com.google.common.hash.Hashing;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.chat.AnswerMetadata;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.EngineRequest;
import org.guavagw.internal.engine.TokenUsage;
import org.guavagw.internal.explain.CandidateKind;
import org.guavagw.internal.explain.ExclusionRule;
import org.guavagw.internal.permit.Permit;
import org.guavagw.internal.permit.PermitRefusal;
import org.guavagw.internal.pipeline.CompletedAnswer;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.SelectedVersion;
import org.guavagw.internal.placement.NoBackend;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementQuery;
import org.guavagw.internal.placement.PlacementTarget;

/**
 * Makes the attempts to get an answer from one version. Confined to the request's thread.
 *
 * <p>Invariants: each attempt passes the dispatch guard on the newest revision; a new attempt
 * starts only if no part of an earlier answer was passed on to the caller; a refusal reports the
 * request as not run only if no attempt ran it.
 */
final class ChatAttempts {
  private static final int MAX_ATTEMPTS = 3;
  private static final int PREFIX_CHARS = 512;
  private static final Duration PERMIT_TIMEOUT = Duration.ofMillis(500);

  private final DispatchDependencies dependencies;
  private final Exchange exchange;
  private final SelectedVersion selected;
  private final AttemptReporter reporter;
  private final Set<String> excluded = new HashSet<>();
  private RunState runState = RunState.NOT_RUN;
  private Optional<Refusal> lastRefusal = Optional.empty();

  ChatAttempts(DispatchDependencies dependencies, Exchange exchange) {
    this.dependencies = dependencies;
    this.exchange = exchange;
    this.selected = exchange.requireVersion();
    this.reporter = new AttemptReporter(dependencies, exchange);
  }

  Either<Refusal, CompletedAnswer> run() {
    dependencies.retries().onFirstAttempt();
    int attempts = 0;
    while (attempts < MAX_ATTEMPTS) {
      if (attempts > 0 && !dependencies.retries().tryRetry()) {
        break;
      }
      Either<Refusal, Placement> chosen = place();
      if (chosen.isLeft()) {
        return Either.left(lastRefusal.orElse(chosen.getLeft()));
      }
      Either<PermitRefusal, Optional<Permit>> permit = permitFor(chosen.get());
      if (permit.isLeft()) {
        recordPermitRefusal(chosen.get(), permit.getLeft());
        continue;
      }
      attempts++;
      AttemptResult result = attempt(chosen.get().server(), permit.get());
      if (result instanceof AttemptResult.Completed completed) {
        return Either.right(completed.answer());
      }
      AttemptResult.Failed failed = (AttemptResult.Failed) result;
      recordFailure(chosen.get(), failed);
      if (failed.answerStarted() || !failed.failure().isWorthRetrying()) {
        break;
      }
    }
    return Either.left(lastRefusal.orElseThrow());
  }

  private Either<Refusal, Placement> place() {
    if (timeLeft().isNegative() || timeLeft().isZero()) {
      return Either.left(
          Refusal.of(RefusalCode.DEADLINE_PASSED, runState, "the deadline has passed"));
    }
    Either<Refusal, Void> allowed =
        dependencies.guard().checkVersion(exchange.requireTeam(), selected.ref());
    if (allowed.isLeft()) {
      return Either.left(allowed.getLeft().withEarlierAttempts(runState));
    }
    return dependencies.placement().choose(query()).mapLeft(this::refusalFor);
  }

  private PlacementQuery query() {
    return new PlacementQuery(
        dependencies.index().current(),
        new PlacementTarget.Version(selected.ref()),
        dependencies.localDataCentre(),
        OptionalLong.of(prefixHash()),
        exchange.chat().request().requestClass(),
        excluded);
  }

  private long prefixHash() {
    String prompt = exchange.chat().request().prompt();
    String prefix = prompt.substring(0, Math.min(PREFIX_CHARS, prompt.length()));
    return Hashing.murmur3_128().hashString(prefix, StandardCharsets.UTF_8).asLong();
  }

  private Either<PermitRefusal, Optional<Permit>> permitFor(Placement placement) {
    if (!placement.needsPermit()) {
      return Either.right(Optional.empty());
    }
    Duration timeout = timeLeft().compareTo(PERMIT_TIMEOUT) < 0 ? timeLeft() : PERMIT_TIMEOUT;
    return dependencies
        .permits()
        .acquire(placement.server().id(), timeLeft(), timeout)
        .map(Optional::of);
  }

  private void recordPermitRefusal(Placement placement, PermitRefusal refusal) {
    String id = placement.server().id();
    excluded.add(id);
    exchange.trace().excluded(CandidateKind.BACKEND_SERVER, id, ExclusionRule.COLD_START);
    lastRefusal =
        Optional.of(
            Refusal.notRun(
                    RefusalCode.OVERLOADED,
                    "the remaining backend servers are in cold start and at their cold-start limit",
                    refusal.retryAfter())
                .withEarlierAttempts(runState));
  }

  private AttemptResult attempt(BackendServerConfig server, Optional<Permit> permit) {
    long start = dependencies.clocks().monotonic().read();
    reporter.onStarted(server.id());
    RelayReport report = null;
    try {
      report = sendIfStillAllowed(server, permit);
      return report.result();
    } finally {
      permit.ifPresent(Permit::close);
      Duration took = Duration.ofNanos(dependencies.clocks().monotonic().read() - start);
      reporter.onFinished(server.id(), Optional.ofNullable(report), took);
    }
  }

  private RelayReport sendIfStillAllowed(BackendServerConfig server, Optional<Permit> permit) {
    boolean safe = permit.map(Permit::isSafe).orElse(true);
    if (!safe || !dependencies.guard().acceptsRequests(server.id())) {
      EngineFailure failure =
          new EngineFailure(
              EngineFailure.Kind.NOT_SENT, "the backend server accepts no new requests");
      AttemptResult result = new AttemptResult.Failed(failure, false);
      return new RelayReport(result, Duration.ZERO, TokenUsage.UNKNOWN, 0);
    }
    AnswerRelay relay =
        new AnswerRelay(
            dependencies.engines(), dependencies.clocks().monotonic(), dependencies.views());
    return relay.relay(jobFor(server));
  }

  private AnswerRelay.Job jobFor(BackendServerConfig server) {
    byte[] body =
        exchange
            .chat()
            .request()
            .bodyFor(selected.ref())
            .toString()
            .getBytes(StandardCharsets.UTF_8);
    EngineRequest request = new EngineRequest(exchange.requestId(), body, timeLeft(), 0);
    AnswerMetadata metadata =
        new AnswerMetadata(
            exchange.requestId(),
            selected.ref(),
            server.id(),
            dependencies.guard().revision(),
            selected.sessionMoved());
    return new AnswerRelay.Job(
        server, request, metadata, exchange.chat().sink(), exchange.awaitRelease());
  }

  private void recordFailure(Placement placement, AttemptResult.Failed failed) {
    excluded.add(placement.server().id());
    EngineFailure failure = failed.failure();
    runState = runState.join(failure.runState());
    RefusalCode code =
        switch (failure.kind()) {
          case NOT_SENT -> RefusalCode.NO_BACKEND;
          case REFUSED -> RefusalCode.OVERLOADED;
          case REJECTED -> RefusalCode.MALFORMED_REQUEST;
          case TIMED_OUT -> RefusalCode.DEADLINE_PASSED;
          case BROKEN, SILENT, MISMATCHED, CANCELLED ->
              failed.answerStarted() ? RefusalCode.ANSWER_CUT : RefusalCode.BACKEND_FAILED;
        };
    lastRefusal = Optional.of(Refusal.of(code, runState, failure.reason()));
  }

  private Refusal refusalFor(NoBackend none) {
    return Refusal.notRun(
            RefusalCode.NO_BACKEND,
            "no backend server accepts requests for \"" + selected.ref() + "\" now",
            none.retryAfter())
        .withEarlierAttempts(runState);
  }

  private Duration timeLeft() {
    return Duration.ofNanos(
        exchange.metadata().deadlineNanos() - dependencies.clocks().monotonic().read());
  }
}
