package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.placement.LoadBook;
import org.guavagw.gateway.internal.placement.PromptWork;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.EngineSpec;
import org.guavagw.gateway.model.Repeatability;
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
  private final Set<String> tried = new HashSet<>();
  private final RequestPlan plan;
  private final OptionalLong resumeAfter;
  private final ScheduledFuture<?> timeout;
  private Optional<String> model;
  private BackendServer server;
  private Attempt attempt;
  private AnswerCollector collector;
  private PromptWork unread;
  private int executed;
  private int turnedAway;
  private boolean sentBefore;
  private boolean allNotRun = true;
  private boolean begun;
  private boolean done;
  private long attemptSentNanos;
  private long attemptHeardNanos;
  private int attempts;
  private boolean attemptBegun;
  private boolean attemptCounted;
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
    this.notes = new OutcomeNotes(parts, request.route(), plan);
    this.resumeAfter = request.caller().resumeAfter();
    this.lastEvent = resumeAfter;
    this.model = parts.models().first(request.route(), request.caller());
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
    ControlView view = parts.knowledge().get();
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
    server = chosen;
    tried.add(chosen.incarnation());
    Optional<ServiceSpec> spec =
        view.config().flatMap(c -> Optional.ofNullable(c.services().get(plan.service())));
    parts.cold().onSent(chosen, now);
    long cacheTokens = spec.flatMap(ServiceSpec::engine).map(EngineSpec::cacheTokens).orElse(0L);
    unread =
        parts
            .loads()
            .onSent(
                chosen,
                model.orElse(""),
                request.caller().prompt(),
                request.caller().promptTokens(),
                cacheTokens);
    log.attemptSent(chosen, model, unread, parts.loads().running(chosen));
    if (!sentBefore) {
      parts.repeats().apply(plan.service()).onFirst(now);
      sentBefore = true;
    }
    attemptSentNanos = now;
    attemptHeardNanos = now;
    attemptBegun = false;
    attemptCounted = false;
    watchForSilence(++attempts);
    collector =
        request.route().repeatability() == Repeatability.STREAM
            ? new StreamedAnswer(this)
            : new WholeAnswer(this);
    int connections =
        spec.map(s -> s.maxConnections() / parts.members().get().count()).orElse(MIN_CONNECTIONS);
    attempt =
        parts
            .pool()
            .send(chosen, Math.max(MIN_CONNECTIONS, connections), outgoing(chosen, now), collector);
  }

  /** Looks at an attempt now and then until it has ended. */
  private void watchForSilence(int watched) {
    if (!request.route().repeatable()) {
      return;
    }
    parts
        .loop()
        .schedule(
            () -> checkSilence(watched),
            SilencePolicy.CHECK_PERIOD.toMillis(),
            TimeUnit.MILLISECONDS);
  }

  private void checkSilence(int watched) {
    if (done || server == null || attempts != watched) {
      return;
    }
    long now = parts.ticker().read();
    LoadBook loads = parts.loads();
    SilencePolicy.Signs signs =
        new SilencePolicy.Signs(
            attemptBegun,
            Duration.ofNanos(now - attemptHeardNanos),
            loads.quiet(server, now),
            loads.overtook(server, attemptSentNanos));
    boolean lost =
        switch (SilencePolicy.judge(request.route(), request.caller().promptTokens(), signs)) {
          case WAIT -> false;
          case CHECK_PATH -> parts.paths().lost(server, now);
          case STUCK -> true;
        };
    if (lost && mayContinueElsewhere(now)) {
      giveUp(AttemptFailure.SILENT);
    } else {
      watchForSilence(watched);
    }
  }

  /** Whether another attempt could follow; if not, the one under way is the caller's best hope. */
  private boolean mayContinueElsewhere(long now) {
    int counted = executed + (attemptCounted ? 0 : 1);
    return counted < request.route().maxAttempts() && targets.choose(model, tried, now).isPresent();
  }

  private void heard() {
    attemptHeardNanos = parts.ticker().read();
    parts.loads().onHeard(server, attemptHeardNanos);
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
        !request.route().repeatable());
  }

  void onAnswerBegins(AnswerHead answer) {
    heard();
    if (!answer.notExecuted()) {
      attemptBegun = true;
      parts.loads().onBegun(server, attemptSentNanos);
      countExecuted();
      allNotRun = false;
    }
  }

  private void countExecuted() {
    if (!attemptCounted) {
      attemptCounted = true;
      executed++;
    }
  }

  /** Passes a whole answer on and takes its body. */
  void answerWhole(AnswerHead answer, HttpHeaders headers, ByteBuf body) {
    boolean good = answer.status() < 500;
    if (good) {
      noteGood();
    } else {
      notes.bad(server);
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
    heard();
    noteFirstEvent();
    if (!begun) {
      Optional<String> better = model.flatMap(m -> stronger(m, answer));
      if (better.isPresent() && tryStrongerModel(better.get(), answer.confidence().orElse(-1))) {
        event.bytes().release();
        return;
      }
      begun = true;
      firstEventNanos = parts.ticker().read();
      sink.begin(head.status().code(), HopHeaders.endToEnd(head.headers()));
    }
    promptDone();
    if (event.id().isPresent()) {
      lastEvent = event.id();
    }
    eventsPassed++;
    if (!sink.write(event.bytes())) {
      attempt.setReading(false);
    }
  }

  private void noteFirstEvent() {
    if (unread != null && lastEvent.isEmpty()) {
      double millis = (attemptHeardNanos - attemptSentNanos) / (double) NANOS_PER_MILLI;
      parts.loads().onFirstEvent(unread, millis);
    }
  }

  private Optional<String> stronger(String weaker, AnswerHead answer) {
    return parts.models().instead(request.route(), weaker, answer.confidence(), targets::outlook);
  }

  private boolean tryStrongerModel(String stronger, int confidence) {
    if (executed >= request.route().maxAttempts()
        || !parts.repeats().apply(plan.service()).tryRepeat(parts.ticker().read())) {
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

  private void promptDone() {
    if (unread != null) {
      parts.loads().onPromptDone(server, unread);
      unread = null;
    }
  }

  /** The caller can take more. */
  void onWritable() {
    if (attempt != null) {
      attempt.setReading(true);
    }
  }

  OptionalLong lastEvent() {
    return lastEvent;
  }

  int eventsPassed() {
    return eventsPassed;
  }

  void finishStream() {
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
    notes.bad(server);
    log.attemptFailed(server, AttemptFailure.SERVER_ERROR, eventsPassed, attemptSentNanos);
    endAttempt();
    dispatch();
  }

  void onFailed(AttemptFailure failure) {
    if (done || server == null) {
      return;
    }
    long now = parts.ticker().read();
    log.attemptFailed(server, failure, eventsPassed, attemptSentNanos);
    switch (failure) {
      case UNREACHABLE, SILENT -> parts.loads().onUnreachable(server, now);
      case STALE_CONNECTION -> {
        turnedAway++;
        tried.remove(server.incarnation());
      }
      case NO_CONNECTION -> {
        // says nothing about the backend server
      }
      case NOT_EXECUTED -> {
        turnedAway++;
        parts.loads().onOutcome(server, false, now);
      }
      default -> {
        allNotRun = false;
        notes.bad(server);
      }
    }
    if (failure.mayHaveRun()) {
      allNotRun = false;
    }
    if (failure.mayHaveRun() && failure != AttemptFailure.STALE_CONNECTION) {
      countExecuted();
    }
    endAttempt();
    if (failure.mayHaveRun() && !request.route().repeatable()) {
      refuse(
          Refusal.after(
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
    return parts.repeats().apply(plan.service()).tryRepeat(now);
  }

  /** Takes leave to send the request again after an answer that it could also be given. */
  boolean tryRepeat() {
    return request.route().repeatability() == Repeatability.IDEMPOTENT
        && executed < request.route().maxAttempts()
        && parts.repeats().apply(plan.service()).tryRepeat(parts.ticker().read());
  }

  private void failFinally(AttemptFailure failure) {
    if (allNotRun) {
      refuse(
          Refusal.notRun(
              RefusalCode.OVERLOADED, "backend servers turned it away", RetryAfter.ALL_FULL));
    } else {
      refuse(
          Refusal.after(
              RefusalCode.BACKEND_FAILED, RunState.UNKNOWN, "attempts failed: " + failure));
    }
  }

  private void refuse(Refusal refusal) {
    Refusal truthful =
        allNotRun
            ? refusal
            : Refusal.after(
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
    refuse(Refusal.after(RefusalCode.DEADLINE_PASSED, RunState.UNKNOWN, "no answer in time"));
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
    notes.good(server, model, (until - attemptSentNanos) / (double) NANOS_PER_MILLI);
  }

  private void endAttempt() {
    if (server != null) {
      promptDone();
      parts.loads().onEnded(server);
      server = null;
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
        Optional.ofNullable(server));
    endAttempt();
    request.body().release();
  }
}
