package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.placement.PrefillEstimate;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.EngineSpec;
import org.guavagw.gateway.model.RouteKind;
import org.guavagw.gateway.model.ServiceSpec;
import org.guavagw.gateway.spi.AnswerHead;
import org.guavagw.gateway.spi.AttemptHead;

/**
 * One request from admission to its final answer: attempts, repeats, continuation of broken
 * streams, time limits.
 *
 * <p>Confined to the traffic thread. Invariants: the caller gets one answer; a request that may not
 * be repeated is sent again only if nothing of it can have run; at most one attempt is under way.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class Exchange {
  /** Attempts that backend servers turned away without executing them, beyond those that count. */
  private static final int MAX_TURNED_AWAY = 3;

  /** Connections that each entry may always have to a backend server. */
  private static final int MIN_CONNECTIONS = 4;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ExchangeParts parts;
  private final AdmittedRequest request;
  private final AnswerSink sink;
  private final Runnable onDone;
  private final ExchangeLog log;
  private final OutcomeNotes notes;
  private final TargetFinder targets;
  private final SilenceWatch silence;
  private final Set<String> tried = new HashSet<>();
  private final RequestPlan plan;
  private final ScheduledFuture<?> timeout;
  private Optional<String> model;
  private AttemptProgress progress;
  private Attempt attempt;
  private AnswerCollector collector;
  private int executed;
  private int turnedAway;
  private boolean sentBefore;
  private boolean allNotRun = true;
  private boolean begun;
  private boolean done;
  private int attempts;
  private long firstEventNanos;
  private OptionalLong lastEvent;
  private int eventsPassed;

  Exchange(ExchangeParts parts, AdmittedRequest request, AnswerSink sink, Runnable onDone) {
    this.parts = parts;
    this.request = request;
    this.sink = sink;
    this.onDone = onDone;
    this.log = new ExchangeLog(parts, request);
    this.plan = RequestPlan.of(request);
    this.targets = new TargetFinder(parts, request, plan);
    this.silence = new SilenceWatch(parts, request, this);
    this.notes = new OutcomeNotes(parts, request.route(), plan);
    this.lastEvent = request.caller().resumeAfter();
    this.model = parts.models().initialModel(request.route(), request.caller());
    this.timeout =
        parts
            .loop()
            .schedule(
                this::onTimeout,
                plan.deadlineNanos() - parts.ticker().read(),
                TimeUnit.NANOSECONDS);
  }

  void start() {
    dispatch();
  }

  private void dispatch() {
    long now = parts.ticker().read();
    ControlView view = parts.currentView().get();
    Optional<BackendServer> chosen = targets.choose(model, tried, now);
    if (chosen.isEmpty()) {
      refuse(
          Refusal.notRun(
              RefusalCode.NO_BACKEND,
              "no backend server of the service can take it",
              turnedAway > 0 ? RetryAfter.ALL_FULL : RetryAfter.NO_SERVER));
      return;
    }
    send(view, chosen.get(), now);
  }

  private void send(ControlView view, BackendServer chosen, long now) {
    tried.add(chosen.incarnation());
    Optional<ServiceSpec> spec =
        view.config().flatMap(c -> Optional.ofNullable(c.services().get(plan.service())));
    parts.cold().onSent(chosen, now);
    long cacheTokens = spec.flatMap(ServiceSpec::engine).map(EngineSpec::cacheTokens).orElse(0L);
    double waiting = parts.loads().totalPendingPrefillMillis(chosen);
    PrefillEstimate work =
        parts
            .loads()
            .onSent(
                chosen,
                model.orElse(""),
                request.caller().prompt(),
                request.caller().promptTokens(),
                cacheTokens);
    log.attemptSent(
        chosen,
        model,
        work,
        parts.loads().totalInFlight(chosen),
        parts.loads().totalPendingPrefillMillis(chosen));
    if (!sentBefore) {
      parts.repeats().apply(plan.service()).onRequest(now);
      sentBefore = true;
    }
    progress = new AttemptProgress(parts.loads(), chosen, work, waiting + work.millis(), now);
    silence.watch(++attempts);
    collector =
        request.route().kind() == RouteKind.STREAM
            ? new StreamedAnswer(this)
            : new WholeAnswer(this);
    int connections =
        spec.map(s -> s.maxConnections() / parts.members().get().count()).orElse(MIN_CONNECTIONS);
    int current = attempts;
    Attempt sent =
        parts
            .pool()
            .send(chosen, Math.max(MIN_CONNECTIONS, connections), outgoing(chosen, now), collector);
    // The attempt may have failed already, and another one may have taken its place.
    if (attempts == current && progress != null) {
      attempt = sent;
    }
  }

  /** An attempt, if it is still under way. */
  Optional<AttemptProgress> underWay(int attemptNumber) {
    return done || attempts != attemptNumber ? Optional.empty() : Optional.ofNullable(progress);
  }

  /** Where another attempt could go, if one could follow. */
  Optional<BackendServer> alternative(long now) {
    int counted = executed + (progress.counted() ? 0 : 1);
    boolean allowed =
        counted < request.route().maxAttempts()
            && parts.repeats().apply(plan.service()).allowsRetry(now);
    return allowed ? targets.choose(model, tried, now) : Optional.empty();
  }

  /** Time until a backend server would begin to answer. */
  double expectedMillis(BackendServer server) {
    return targets.expectedMillis(server, model.orElse(""));
  }

  private OutgoingRequest outgoing(BackendServer chosen, long now) {
    AttemptHead head =
        new AttemptHead(
            chosen,
            request.team(),
            Math.max(1, (plan.deadlineNanos() - now) / NANOS_PER_MILLI),
            model,
            lastEvent,
            plan.priority());
    return new OutgoingRequest(
        request.caller().id(),
        request.head().method(),
        request.head().uri(),
        parts.format().attemptHeaders(request.head(), head),
        request.body(),
        request.chunked(),
        !request.route().safeToRetry());
  }

  void onAnswerBegins(AnswerHead answer) {
    progress.heard(parts.ticker().read());
    if (!answer.notExecuted()) {
      progress.begin();
      countExecuted();
      allNotRun = false;
    }
  }

  private void countExecuted() {
    if (progress.count()) {
      executed++;
    }
  }

  /** Passes a whole answer on and takes its body. */
  void answerWhole(AnswerHead answer, HttpHeaders headers, ByteBuf body) {
    if (begun) {
      // A stream that is to be continued can only get further events.
      body.release();
      onFailed(AttemptFailure.SERVER_ERROR);
      return;
    }
    boolean good = answer.status() < 500;
    if (good) {
      noteGood();
    } else {
      notes.bad(progress.server());
    }
    end(good ? "answered" : "server_error", answer.status());
    sink.answer(answer.status(), headers, body);
    onDone.run();
  }

  /** Passes an event on and takes its bytes. */
  void passEvent(AnswerHead answer, HttpResponse head, EventSplitter.Event event) {
    if (done || attempt == null) {
      event.bytes().release();
      return;
    }
    progress.heard(parts.ticker().read());
    progress.onEvent(lastEvent.isEmpty());
    if (!begun) {
      Optional<String> better = model.flatMap(m -> stronger(m, answer));
      if (better.isPresent() && tryStrongerModel(better.get(), answer.confidence().orElse(-1))) {
        event.bytes().release();
        return;
      }
      firstEventNanos = parts.ticker().read();
      beginOnce(head);
    }
    progress.promptDone();
    if (event.id().isPresent()) {
      lastEvent = event.id();
    }
    eventsPassed++;
    if (!sink.write(event.bytes())) {
      attempt.setReading(false);
    }
  }

  private void beginOnce(HttpResponse head) {
    if (!begun) {
      begun = true;
      sink.begin(head.status().code(), HopHeaders.endToEnd(head.headers()));
    }
  }

  private Optional<String> stronger(String weaker, AnswerHead answer) {
    return parts
        .models()
        .escalationModel(request.route(), weaker, answer.confidence(), targets::outlook);
  }

  private boolean tryStrongerModel(String stronger, int confidence) {
    long now = parts.ticker().read();
    if (executed >= request.route().maxAttempts()
        || targets.choose(Optional.of(stronger), Set.of(), now).isEmpty()
        || !parts.repeats().apply(plan.service()).tryRetry(now)) {
      return false;
    }
    String weaker = model.orElse("");
    Attempt dropped = attempt;
    endAttempt();
    dropped.cancel();
    log.answerDropped(weaker, confidence);
    model = Optional.of(stronger);
    tried.clear();
    dispatch();
    return true;
  }

  /** The caller can take more. */
  void onWritable() {
    if (attempt != null) {
      attempt.setReading(true);
    }
  }

  /** Whether a collector belongs to the attempt under way. */
  boolean isCurrent(AnswerCollector candidate) {
    return candidate.equals(collector);
  }

  OptionalLong lastEvent() {
    return lastEvent;
  }

  int eventsPassed() {
    return eventsPassed;
  }

  /** Ends a stream; the head is for one that had no events left to pass on. */
  void finishStream(HttpResponse head) {
    beginOnce(head);
    noteGood();
    end("streamed", 200);
    sink.finish();
    onDone.run();
  }

  /** Gives the attempt under way up for a reason of the gateway. */
  void giveUp(AttemptFailure failure) {
    if (attempt == null) {
      return;
    }
    attempt.cancel();
    onFailed(failure);
  }

  /** An answer that was a server error will be asked for again; leave was taken already. */
  void onServerError() {
    notes.bad(progress.server());
    log.attemptFailed(
        progress.server(), AttemptFailure.SERVER_ERROR, eventsPassed, progress.sentNanos());
    endAttempt();
    dispatch();
  }

  void onFailed(AttemptFailure failure) {
    if (done || progress == null) {
      return;
    }
    long now = parts.ticker().read();
    log.attemptFailed(progress.server(), failure, eventsPassed, progress.sentNanos());
    switch (failure) {
      case UNREACHABLE, SILENT -> parts.loads().onUnreachable(progress.server(), now);
      case LATE ->
          notes.late(
              progress.server(), model, (now - progress.sentNanos()) / (double) NANOS_PER_MILLI);
      case STALE_CONNECTION -> {
        turnedAway++;
        tried.remove(progress.server().incarnation());
      }
      case NO_CONNECTION -> {
        // says nothing about the backend server
      }
      case NOT_EXECUTED -> {
        turnedAway++;
        parts.loads().onOutcome(progress.server(), false, now);
      }
      default -> notes.bad(progress.server());
    }
    if (failure.mayHaveRun()) {
      allNotRun = false;
    }
    if (failure.mayHaveRun() && failure != AttemptFailure.STALE_CONNECTION) {
      countExecuted();
    }
    endAttempt();
    if (failure.mayHaveRun() && !request.route().safeToRetry()) {
      refuse(
          Refusal.of(
              RefusalCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, "the answer was lost: " + failure));
    } else if (mayTryAgain(failure, now)) {
      dispatch();
    } else {
      failFinally(failure);
    }
  }

  private boolean mayTryAgain(AttemptFailure failure, long now) {
    if (failure == AttemptFailure.UNREACHABLE || failure == AttemptFailure.NO_CONNECTION) {
      return true;
    }
    if (executed >= request.route().maxAttempts() || turnedAway > MAX_TURNED_AWAY) {
      return false;
    }
    return parts.repeats().apply(plan.service()).tryRetry(now);
  }

  /** Takes leave to send the request again after an answer that it could also be given. */
  boolean tryRepeat() {
    return request.route().safeToRetry()
        && !begun
        && executed < request.route().maxAttempts()
        && parts.repeats().apply(plan.service()).tryRetry(parts.ticker().read());
  }

  private void failFinally(AttemptFailure failure) {
    if (allNotRun) {
      refuse(
          Refusal.notRun(
              RefusalCode.OVERLOADED, "backend servers turned it away", RetryAfter.ALL_FULL));
    } else {
      refuse(
          Refusal.of(RefusalCode.BACKEND_FAILED, RunState.UNKNOWN, "attempts failed: " + failure));
    }
  }

  private void refuse(Refusal refusal) {
    Refusal truthful =
        allNotRun
            ? refusal
            : Refusal.of(
                refusal.code().httpStatus() == 503 ? RefusalCode.BACKEND_FAILED : refusal.code(),
                RunState.UNKNOWN,
                refusal.reason());
    end(truthful.code().wireName() + ": " + truthful.reason(), truthful.code().httpStatus());
    if (begun) {
      sink.abort();
    } else {
      OwnAnswers.send(sink, truthful);
    }
    onDone.run();
  }

  private void onTimeout() {
    if (done) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
      allNotRun = false;
    }
    refuse(Refusal.of(RefusalCode.DEADLINE_PASSED, RunState.UNKNOWN, "no answer in time"));
  }

  /** The caller has gone. */
  void onCallerGone() {
    if (done) {
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    end("caller_gone", 0);
    onDone.run();
  }

  private void noteGood() {
    long now = parts.ticker().read();
    long until = firstEventNanos > 0 ? firstEventNanos : now;
    notes.good(progress.server(), model, (until - progress.sentNanos()) / (double) NANOS_PER_MILLI);
  }

  private void endAttempt() {
    if (progress != null) {
      progress.end();
      progress = null;
    }
    attempt = null;
    if (collector != null) {
      AnswerCollector ended = collector;
      collector = null;
      parts.loop().execute(ended::release);
    }
  }

  private void end(String how, int status) {
    done = true;
    timeout.cancel(false);
    log.ended(
        new ExchangeLog.End(how, status, executed, turnedAway, firstEventNanos, eventsPassed),
        model,
        Optional.ofNullable(progress).map(AttemptProgress::server));
    endAttempt();
    request.body().release();
  }
}
