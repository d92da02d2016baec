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
import org.guavagw.internal.chat.AnswerHead;
import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.engine.EngineRequest;
import org.guavagw.internal.engine.Usage;
import org.guavagw.internal.explain.CandidateKind;
import org.guavagw.internal.explain.ExclusionRule;
import org.guavagw.internal.permit.Permit;
import org.guavagw.internal.permit.PermitRefusal;
import org.guavagw.internal.pipeline.Answered;
import org.guavagw.internal.pipeline.Exchange;
import org.guavagw.internal.pipeline.VersionPick;
import org.guavagw.internal.placement.NoBackend;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementQuery;
import org.guavagw.internal.placement.PlacementTarget;

/**
 * The attempts to get one answer from one version. Confined to the request's thread.
 *
 * <p>Invariants: each attempt passes the dispatch guard on the newest revision; a new attempt
 * starts only while the caller has seen nothing of an earlier one; a refusal says that the request
 * was not run only if that holds for every attempt.
 */
final class ChatAttempts {
  private static final int MAX_ATTEMPTS = 3;
  private static final int PREFIX_CHARS = 512;
  private static final Duration PERMIT_PATIENCE = Duration.ofMillis(500);

  private final DispatchParts parts;
  private final Exchange exchange;
  private final VersionPick pick;
  private final AttemptJournal journal;
  private final Set<String> excluded = new HashSet<>();
  private RunState runState = RunState.NOT_RUN;
  private Optional<Refusal> lastRefusal = Optional.empty();

  ChatAttempts(DispatchParts parts, Exchange exchange) {
    this.parts = parts;
    this.exchange = exchange;
    this.pick = exchange.requireVersion();
    this.journal = new AttemptJournal(parts, exchange);
  }

  Either<Refusal, Answered> run() {
    parts.retries().onFirstAttempt();
    int attempts = 0;
    while (attempts < MAX_ATTEMPTS) {
      if (attempts > 0 && !parts.retries().tryRetry()) {
        break;
      }
      Either<Refusal, Placement> placed = place();
      if (placed.isLeft()) {
        return Either.left(lastRefusal.orElse(placed.getLeft()));
      }
      Either<PermitRefusal, Optional<Permit>> permit = permitFor(placed.get());
      if (permit.isLeft()) {
        noteNoPermit(placed.get(), permit.getLeft());
        continue;
      }
      attempts++;
      AttemptResult result = attempt(placed.get().server(), permit.get());
      if (result instanceof AttemptResult.Whole whole) {
        return Either.right(whole.answered());
      }
      AttemptResult.Failed failed = (AttemptResult.Failed) result;
      noteFailure(placed.get(), failed);
      if (failed.begun() || !failed.failure().isWorthRetrying()) {
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
    Either<Refusal, Void> allowed = parts.guard().checkVersion(exchange.requireTeam(), pick.ref());
    if (allowed.isLeft()) {
      return Either.left(allowed.getLeft().withEarlierAttempts(runState));
    }
    return parts.placement().choose(query()).mapLeft(this::refusalFor);
  }

  private PlacementQuery query() {
    return new PlacementQuery(
        parts.index().current(),
        new PlacementTarget.Version(pick.ref()),
        parts.localDataCentre(),
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
    Duration patience = timeLeft().compareTo(PERMIT_PATIENCE) < 0 ? timeLeft() : PERMIT_PATIENCE;
    return parts.permits().acquire(placement.server().id(), timeLeft(), patience).map(Optional::of);
  }

  private void noteNoPermit(Placement placement, PermitRefusal refusal) {
    String id = placement.server().id();
    excluded.add(id);
    exchange.trace().excluded(CandidateKind.BACKEND_SERVER, id, ExclusionRule.COLD_START);
    lastRefusal =
        Optional.of(
            Refusal.notRun(
                    RefusalCode.OVERLOADED,
                    "the backend servers that are left are in cold start and have no room",
                    refusal.retryAfter())
                .withEarlierAttempts(runState));
  }

  private AttemptResult attempt(BackendServerConfig server, Optional<Permit> permit) {
    long start = parts.clocks().monotonic().read();
    journal.started(server.id());
    RelayReport report = null;
    try {
      report = sendIfStillAllowed(server, permit);
      return report.result();
    } finally {
      permit.ifPresent(Permit::close);
      Duration took = Duration.ofNanos(parts.clocks().monotonic().read() - start);
      journal.finished(server.id(), Optional.ofNullable(report), took);
    }
  }

  private RelayReport sendIfStillAllowed(BackendServerConfig server, Optional<Permit> permit) {
    boolean safe = permit.map(Permit::isSafe).orElse(true);
    if (!safe || !parts.guard().takesWork(server.id())) {
      EngineFailure failure =
          new EngineFailure(EngineFailure.Kind.NOT_SENT, "the backend server takes no new work");
      AttemptResult result = new AttemptResult.Failed(failure, false);
      return new RelayReport(result, Duration.ZERO, Usage.NONE, 0);
    }
    AnswerRelay relay = new AnswerRelay(parts.engines(), parts.clocks().monotonic(), parts.views());
    return relay.relay(jobFor(server));
  }

  private AnswerRelay.Job jobFor(BackendServerConfig server) {
    byte[] body =
        exchange.chat().request().bodyFor(pick.ref()).toString().getBytes(StandardCharsets.UTF_8);
    EngineRequest request = new EngineRequest(exchange.requestId(), body, timeLeft(), 0);
    AnswerHead head =
        new AnswerHead(
            exchange.requestId(),
            pick.ref(),
            server.id(),
            parts.guard().revision(),
            pick.sessionMoved());
    return new AnswerRelay.Job(server, request, head, exchange.chat().sink(), exchange.release());
  }

  private void noteFailure(Placement placement, AttemptResult.Failed failed) {
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
              failed.begun() ? RefusalCode.ANSWER_CUT : RefusalCode.BACKEND_FAILED;
        };
    lastRefusal = Optional.of(Refusal.of(code, runState, failure.reason()));
  }

  private Refusal refusalFor(NoBackend none) {
    return Refusal.notRun(
            RefusalCode.NO_BACKEND,
            "no backend server can take \"" + pick.ref() + "\" now",
            none.retryAfter())
        .withEarlierAttempts(runState);
  }

  private Duration timeLeft() {
    return Duration.ofNanos(exchange.terms().deadlineNanos() - parts.clocks().monotonic().read());
  }
}
