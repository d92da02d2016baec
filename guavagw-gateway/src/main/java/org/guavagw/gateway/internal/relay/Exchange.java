package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.guavagw.Refusal;
import org.guavagw.gateway.internal.admission.RequestTraits;
import org.guavagw.gateway.internal.placement.Placement;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * One request from admission to its final answer: attempts, retries, continuation of broken streams
 * and the deadline.
 *
 * <p>Confined to the traffic thread. Invariants: the caller gets exactly one answer; a request of a
 * route that is not safe to retry is sent again only if no backend server can have executed it; at
 * most one attempt is in flight; a stream that has begun is broken off for want of a server only at
 * its deadline or at the limits of its route.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class Exchange {
  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final AnswerSink sink;
  private final ExchangeListener listener;
  private final ExchangeLog log;
  private final ExchangeGuard guard;
  private final OutcomeReporter outcomes;
  private final AttemptPlanner planner;
  private final AttemptSender sender;
  private final StalledAttemptMonitor monitor;
  private final CallerStream stream;
  private final AttemptCounts counts;
  private final ForwardingPolicy forwardingPolicy;
  private final ExchangeLifecycle lifecycle = new ExchangeLifecycle();
  private final Set<String> triedIncarnations = new HashSet<>();
  private final RequestPlan plan;
  private ScheduledFuture<?> deadlineTimer;
  private Optional<String> model;
  private AttemptProgress progress;
  private Attempt attempt;
  private AnswerForwarder forwarder;
  private boolean firstAttemptSent;
  private ForwardedExchange forwarded;
  private int attemptCount;

  Exchange(
      ExchangeDependencies shared,
      AdmittedRequest request,
      AnswerSink sink,
      ExchangeListener listener) {
    this.shared = shared;
    this.request = request;
    this.sink = sink;
    this.listener = listener;
    this.guard = new ExchangeGuard(shared, request);
    this.log = new ExchangeLog(shared, request, guard.fingerprint());
    this.plan = RequestPlan.of(request);
    this.planner = new AttemptPlanner(shared, request, plan);
    this.sender = new AttemptSender(shared, request, plan, log);
    this.outcomes = new OutcomeReporter(shared, request, plan);
    this.counts = AttemptCounts.of(request, shared.retryBudgets().apply(plan.service()));
    this.forwardingPolicy = new ForwardingPolicy(shared, request, plan, counts);
    this.monitor = new StalledAttemptMonitor(shared, request, forwardingPolicy, this);
    this.stream = new CallerStream(sink, shared.format(), request.caller().resumeAfter());
    this.model = shared.models().initialModel(request.route(), request.caller());
    this.deadlineTimer = shared.runAt(plan.deadlineNanos(), this::onTimeout);
  }

  RequestTraits traits() {
    return plan.traits(request);
  }

  /**
   * Starts or ends the exchange, unless it has to wait as all eligible servers are full. One that
   * has waited goes on waiting while no server is eligible but the service has some.
   */
  boolean tryStart(long now, boolean hasWaited) {
    return dispatch(now, true, hasWaited);
  }

  /** Refuses a request that was never sent to a backend server. */
  void refuseUnstarted(Refusal refusal) {
    refuse(refusal);
  }

  private void dispatch() {
    var unused = dispatch(shared.ticker().read(), false, false);
  }

  /** Sends the next attempt or ends the exchange; returns false if neither, as it may wait. */
  private boolean dispatch(long now, boolean mayWait, boolean hasWaited) {
    if (!lifecycle.isActive()) {
      return true;
    }
    if (isOver(now)) {
      onTimeout();
      return true;
    }
    Optional<Duration> untilAllowed = guard.untilAllowed(now);
    if (untilAllowed.isPresent()) {
      refuse(ExchangeRefusals.quarantined(untilAllowed.get()));
      return true;
    }
    boolean cutOff = shared.connectivity().isCutOff(plan.service());
    Placement placement = cutOff ? Placement.none() : planner.place(model, triedIncarnations, now);
    if (mayWait && (placement.mustWait() || (hasWaited && planner.mayFindServer(placement)))) {
      return false;
    }
    Optional<BackendServer> chosen = placement.chosen();
    if (chosen.isPresent()) {
      startAttempt(chosen.get(), now);
    } else if (forwardingPolicy.mayForward()) {
      forward();
    } else if (stream.started() && counts.allowsAnother()) {
      tryAgainLater();
    } else {
      refuse(ExchangeRefusals.noBackendServer(planner.retryDelay(counts.turnedAway() > 0, now)));
    }
    return true;
  }

  private void tryAgainLater() {
    triedIncarnations.clear();
    shared.runAt(shared.ticker().read() + ContinuationDelay.next().toNanos(), this::dispatch);
  }

  /** Lets another entry serve the request from here on. */
  private void forward() {
    if (!lifecycle.tryForward()) {
      return;
    }
    deadlineTimer.cancel(false);
    var state = ForwardedExchange.State.of(plan, stream, counts);
    forwarded = new ForwardedExchange(shared, request, state, sink, listener, this::takeBack, log);
    forwarded.start();
  }

  /** Goes on with a stream that no other entry can continue now. */
  private void takeBack() {
    if (!lifecycle.tryTakeBack()) {
      return;
    }
    forwarded = null;
    deadlineTimer = shared.runAt(plan.deadlineNanos(), this::onTimeout);
    tryAgainLater();
  }

  /** Returns the monotonic time by which the caller must have its answer. */
  long deadlineNanos() {
    return plan.deadlineNanos();
  }

  /** Returns whether the deadline has passed; its timer may not have run yet. */
  private boolean isOver(long now) {
    return plan.deadlineNanos() - now <= 0;
  }

  private boolean isStillWanted(BackendServer chosen) {
    long now = shared.ticker().read();
    return lifecycle.isActive()
        && !isOver(now)
        && !guard.holds(now)
        && shared.availability().accepts(chosen, now);
  }

  /** Returns whether the current attempt waits at a backend server that it is likely to end. */
  boolean endangersServer(long now) {
    return progress != null && !progress.hasEvents() && guard.holds(now);
  }

  private void startAttempt(BackendServer chosen, long now) {
    triedIncarnations.add(chosen.incarnation());
    guard.onSent(now);
    if (!firstAttemptSent) {
      shared.retryBudgets().apply(plan.service()).onRequest(now);
      firstAttemptSent = true;
    }
    progress = sender.begin(chosen, model, now);
    monitor.watch(++attemptCount);
    forwarder = AnswerForwarder.of(this, sink, request.route().kind());
    int attemptNumber = attemptCount;
    Attempt sent =
        sender.send(
            chosen, model, stream.lastEventId(), () -> isStillWanted(chosen), forwarder, now);
    // The attempt may already have failed and been replaced by another one.
    if (attemptCount == attemptNumber && progress != null) {
      attempt = sent;
    }
  }

  /** Returns the progress of an attempt if it is still in flight. */
  Optional<AttemptProgress> inFlightAttempt(int attemptNumber) {
    return lifecycle.isActive() && attemptCount == attemptNumber
        ? Optional.ofNullable(progress)
        : Optional.empty();
  }

  /** Returns the backend server that a retry would go to, if a retry is allowed. */
  Optional<BackendServer> retryTarget(long now) {
    return counts.allowsReplacing(progress, now)
        ? planner.selectServer(model, triedIncarnations, now)
        : Optional.empty();
  }

  /** Returns the estimated time until a backend server would begin to answer. */
  double expectedMillis(BackendServer server) {
    return planner.expectedMillis(server, model.orElse(""));
  }

  void onAnswerStarted(AnswerHead answer) {
    long now = shared.ticker().read();
    progress.onReceived(now);
    shared.availability().onAnswer(progress.server(), answer, now);
    if (!answer.notExecuted()) {
      progress.onAnswerStarted();
      counts.onMayHaveRun(progress);
    }
  }

  /** Forwards a buffered answer and takes ownership of its body. */
  void forwardBuffered(AnswerHead answer, HttpHeaders headers, ByteBuf body) {
    if (!lifecycle.isActive()) {
      body.release();
      return;
    }
    if (stream.started()) {
      // A stream that has begun can only be continued with further events.
      body.release();
      onAttemptFailed(AttemptFailure.SERVER_ERROR);
      return;
    }
    boolean success = answer.status() < 500;
    if (success) {
      onAnswerBegun(shared.ticker().read());
      outcomes.reportSuccess(progress.server());
    } else {
      outcomes.reportFailure(progress.server());
    }
    end(
        success ? "answered" : "server_error",
        answer.status(),
        () -> sink.send(answer.status(), headers, body));
  }

  /** Forwards an event and takes ownership of its bytes. */
  void forwardEvent(AnswerHead answer, HttpResponse head, EventSplitter.Event event) {
    if (!lifecycle.isActive() || attempt == null) {
      event.bytes().release();
      return;
    }
    long now = shared.ticker().read();
    progress.onReceived(now);
    if (!progress.hasEvents()) {
      onAnswerBegun(now);
    }
    progress.onEvent(stream.lastEventId().isEmpty());
    outcomes.reportPace(progress, model);
    if (!stream.started()) {
      Optional<String> better = model.flatMap(m -> planner.strongerModel(m, answer));
      if (better.isPresent() && tryStrongerModel(better.get(), answer.confidence().orElse(-1))) {
        event.bytes().release();
        return;
      }
      stream.startOnce(head);
    }
    progress.onPrefillFinished();
    if (!stream.write(event, now)) {
      attempt.setReading(false);
    }
  }

  private void onAnswerBegun(long now) {
    guard.onAnswered(now);
    listener.onAnswering();
    outcomes.reportBegin(progress, model, now);
  }

  /** Reports the current attempt if its answer has not begun and is very slow by now. */
  void reportIfVerySlow(long now) {
    if (!progress.hasEvents()) {
      outcomes.reportIfVerySlow(progress, model, now);
    }
  }

  /** Returns the headers of an answer that the caller gets. */
  HttpHeaders callerHeaders(HttpResponse head) {
    return shared.format().callerHeaders(head);
  }

  private boolean tryStrongerModel(String strongerModel, int confidence) {
    long now = shared.ticker().read();
    if (!counts.allowsBetterAnswer()
        || planner.selectServer(Optional.of(strongerModel), Set.of(), now).isEmpty()
        || !counts.tryBetterAnswer(now)) {
      return false;
    }
    String weaker = model.orElse("");
    Attempt dropped = attempt;
    endAttempt();
    dropped.cancel();
    log.answerDropped(weaker, confidence);
    model = Optional.of(strongerModel);
    triedIncarnations.clear();
    dispatch();
    return true;
  }

  /** Resumes reading once the connection of the caller is writable again. */
  void onWritable() {
    if (forwarded != null) {
      forwarded.onWritable();
    } else if (attempt != null) {
      attempt.setReading(true);
    }
  }

  /** Returns whether a forwarder belongs to the current attempt. */
  boolean isCurrent(AnswerForwarder candidate) {
    return candidate.equals(forwarder);
  }

  CallerStream stream() {
    return stream;
  }

  /**
   * Ends a stream. The head starts the answer to the caller if no event was forwarded. Takes
   * ownership of the bytes after the last event.
   */
  void finishStream(HttpResponse head, ByteBuf rest) {
    stream.startOnce(head);
    var unused = sink.write(rest);
    outcomes.reportSuccess(progress.server());
    end("streamed", 200, sink::finish);
  }

  /** Cancels the current attempt for a reason internal to the gateway. */
  void cancelAttempt(AttemptFailure failure) {
    if (attempt == null) {
      return;
    }
    attempt.cancel();
    onAttemptFailed(failure);
  }

  /** Retries after a server error. Requires that {@link #tryAcquireRetry} returned true. */
  void retryAfterServerError() {
    outcomes.reportFailure(progress.server());
    log.attemptFailed(progress, AttemptFailure.SERVER_ERROR, stream.events());
    endAttempt();
    dispatch();
  }

  void onAttemptFailed(AttemptFailure failure) {
    if (!lifecycle.isActive() || progress == null) {
      return;
    }
    long now = shared.ticker().read();
    log.attemptFailed(progress, failure, stream.events());
    outcomes.reportAttemptFailure(progress, model, failure, now);
    counts.onFailed(progress, failure);
    forwardingPolicy.onAttemptFailed(failure);
    AttemptProgress failed = progress;
    endAttempt();
    if (failure.mayHaveRun() && !request.route().safeToRetry()) {
      refuse(ExchangeRefusals.answerLost(failure));
    }
    if (failure.connectionLost()) {
      guard.onConnectionLost(
          failed.server(),
          !failed.hasEvents(),
          ended -> onServerChecked(failed, failure, ended),
          () -> retryOrRefuse(failure));
    } else {
      retryOrRefuse(failure);
    }
  }

  private void onServerChecked(AttemptProgress failed, AttemptFailure failure, boolean ended) {
    if (ended) {
      counts.onServerEnded(failed);
      shared.loads().onUnreachable(failed.server(), shared.ticker().read());
    } else if (failure == AttemptFailure.STALE_CONNECTION) {
      triedIncarnations.remove(failed.server().incarnation());
      shared.pool().closeIdle(failed.server());
    }
  }

  private void retryOrRefuse(AttemptFailure failure) {
    if (!lifecycle.isActive()) {
      return;
    }
    if (counts.tryRetryAfter(failure, shared.ticker().read())) {
      dispatch();
    } else {
      refuseAfterFailure(failure);
    }
  }

  /** Reserves a retry in place of forwarding a server error; returns whether one is allowed. */
  boolean tryAcquireRetry() {
    return request.route().safeToRetry()
        && !stream.started()
        && counts.tryAnother(shared.ticker().read());
  }

  private void refuseAfterFailure(AttemptFailure failure) {
    refuse(
        counts.provenNotRun()
            ? ExchangeRefusals.turnedAway(planner.retryDelay(true, shared.ticker().read()))
            : ExchangeRefusals.failed(failure));
  }

  private void refuse(Refusal refusal) {
    Refusal adjusted = ExchangeRefusals.withProof(refusal, counts.provenNotRun());
    end(
        adjusted.code().wireName() + ": " + adjusted.reason(),
        adjusted.code().httpStatus(),
        () -> RefusalWriter.writeOrAbort(sink, adjusted, stream.started()));
  }

  private void onTimeout() {
    if (lifecycle.isActive()) {
      abandonAttempt();
      refuse(ExchangeRefusals.deadlinePassed(counts.provenNotRun()));
    }
  }

  /** Answers the caller because this entry stops before the request can end. */
  void onEntryStopping() {
    if (forwarded != null) {
      forwarded.onEntryStopping();
    } else if (lifecycle.isActive()) {
      abandonAttempt();
      refuse(ExchangeRefusals.entryStopping());
    }
  }

  private void abandonAttempt() {
    if (attempt != null) {
      attempt.cancel();
      counts.onAbandoned();
    }
  }

  /** Ends the exchange because the connection of the caller has been closed. */
  void onConnectionClosed(CloseReason reason) {
    if (forwarded != null) {
      forwarded.onConnectionClosed(reason);
      return;
    }
    if (attempt != null) {
      attempt.cancel();
    }
    end(reason.outcome(), 0, () -> {});
  }

  private void endAttempt() {
    if (progress != null) {
      progress.onEnd(shared.ticker().read());
      progress = null;
    }
    attempt = null;
    sink.setHeldAnswer(HeldAnswer.NONE);
    if (forwarder != null) {
      AnswerForwarder ended = forwarder;
      forwarder = null;
      shared.eventLoop().execute(ended::release);
    }
  }

  /**
   * Ends the exchange unless it has ended or another entry serves it; every end goes through here.
   *
   * @param answer gives the caller its final answer
   */
  private void end(String outcome, int status, Runnable answer) {
    if (!lifecycle.tryEnd()) {
      return;
    }
    deadlineTimer.cancel(false);
    log.ended(
        ExchangeLog.Summary.of(outcome, status, counts, stream),
        model,
        Optional.ofNullable(progress).map(AttemptProgress::server));
    endAttempt();
    request.body().release();
    answer.run();
    listener.onDone();
  }
}
