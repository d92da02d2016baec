package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.guavagw.Refusal;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.RouteKind;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * One request that another entry serves, because this one reaches no backend server.
 *
 * <p>Confined to the traffic thread. Invariants: the caller gets exactly one answer; the request
 * goes to a second entry only if the first has not run it; an answer that breaks off does not look
 * complete; the body is released here unless the request is handed back; the entry that takes the
 * request does not forward it again.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ForwardedExchange {
  /** Entries that a request is forwarded to before it is refused. */
  private static final int MAX_ENTRIES = 3;

  /** Connections to one entry; far more than the requests that one entry has at a time. */
  private static final int MAX_CONNECTIONS = 500;

  /** Larger answers are not buffered; the other entry has the same limit. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final State state;
  private final AnswerSink sink;
  private final ExchangeListener listener;
  private final Runnable onNotContinued;
  private final ExchangeLog log;
  private final ScheduledFuture<?> deadlineTimer;
  private final Set<String> triedEntries = new HashSet<>();
  private Optional<Duration> lastRetryAfter = Optional.empty();
  private Attempt attempt;
  private boolean provenNotRun;
  private boolean answerStarted;
  private final ExchangeLifecycle lifecycle = new ExchangeLifecycle();

  /**
   * What became of the request here before it is forwarded. Immutable.
   *
   * @param resumeAfter id of the last event that the caller has
   * @param answerStarted whether the caller has the head of a stream
   * @param attempts attempts that count towards the limit of the route
   * @param provenNotRun whether no attempt can have been executed
   */
  record State(
      String service,
      long deadlineNanos,
      OptionalLong resumeAfter,
      boolean answerStarted,
      int attempts,
      boolean provenNotRun) {
    static State of(RequestPlan plan, CallerStream stream, AttemptCounts counts) {
      return new State(
          plan.service(),
          plan.deadlineNanos(),
          stream.lastEventId(),
          stream.started(),
          counts.counted(),
          counts.provenNotRun());
    }
  }

  /**
   * Creates an exchange, which {@link #start} begins.
   *
   * @param listener is notified of the end unless the request is handed back
   * @param onNotContinued takes the request back, in place of refusing it, if its caller has the
   *     head of a stream and no entry that can be asked now has run it
   */
  ForwardedExchange(
      ExchangeDependencies shared,
      AdmittedRequest request,
      State state,
      AnswerSink sink,
      ExchangeListener listener,
      Runnable onNotContinued,
      ExchangeLog log) {
    this.shared = shared;
    this.request = request;
    this.state = state;
    this.sink = sink;
    this.listener = listener;
    this.onNotContinued = onNotContinued;
    this.log = log;
    this.provenNotRun = state.provenNotRun();
    this.answerStarted = state.answerStarted();
    this.deadlineTimer = shared.runAt(state.deadlineNanos(), this::onTimeout);
  }

  void start() {
    if (!lifecycle.isActive()) {
      return;
    }
    long now = shared.ticker().read();
    Optional<Member> entry =
        triedEntries.size() < MAX_ENTRIES
            ? shared
                .forwarding()
                .selector()
                .select(request.caller().id(), state.service(), triedEntries, now)
            : Optional.empty();
    if (entry.isEmpty()) {
      onNoEntryLeft();
      return;
    }
    triedEntries.add(entry.get().name());
    BackendServer server = Forwarding.asServer(entry.get(), state.service());
    log.forwarded(entry.get().name());
    PeerAnswer answer = new PeerAnswer(entry.get().name());
    Attempt sent = shared.forwarding().pool().send(server, MAX_CONNECTIONS, outgoing(now), answer);
    if (!answer.ended) {
      attempt = sent;
    }
  }

  private void onNoEntryLeft() {
    if (!answerStarted) {
      refuse(
          ExchangeRefusals.noBackendServer(
              lastRetryAfter.orElse(RetryAfterDelays.NO_BACKEND_SERVER)));
    } else if (lifecycle.tryEnd()) {
      deadlineTimer.cancel(false);
      onNotContinued.run();
    }
  }

  private OutgoingRequest outgoing(long now) {
    long remainingMillis = Math.max(1, (state.deadlineNanos() - now) / NANOS_PER_MILLI);
    HttpHeaders headers =
        shared.format().forwardHeaders(request.head(), remainingMillis, state.resumeAfter());
    Forwarding.setAttempts(headers, state.attempts());
    return new OutgoingRequest(
        request.caller().id(),
        request.head().method(),
        request.head().uri(),
        headers,
        request.body(),
        request.chunked(),
        !request.route().safeToRetry(),
        lifecycle::isActive);
  }

  /** Resumes reading once the connection of the caller is writable again. */
  void onWritable() {
    if (attempt != null) {
      attempt.setReading(true);
    }
  }

  /** Ends the exchange because the connection of the caller has been closed. */
  void onConnectionClosed(CloseReason reason) {
    cancelAttempt();
    end(reason.outcome(), 0, () -> {});
  }

  private void onTimeout() {
    if (lifecycle.isActive()) {
      abandonAttempt();
      refuse(ExchangeRefusals.deadlinePassed(provenNotRun));
    }
  }

  /** Answers the caller because this entry stops before the request can end. */
  void onEntryStopping() {
    if (lifecycle.isActive()) {
      abandonAttempt();
      refuse(ExchangeRefusals.entryStopping());
    }
  }

  private void abandonAttempt() {
    provenNotRun &= attempt == null;
    cancelAttempt();
  }

  private void cancelAttempt() {
    if (attempt != null) {
      attempt.cancel();
      attempt = null;
    }
  }

  private void refuse(Refusal refusal) {
    Refusal adjusted = ExchangeRefusals.withProof(refusal, provenNotRun);
    end(
        adjusted.code().wireName() + ": " + adjusted.reason(),
        adjusted.code().httpStatus(),
        answerStarted ? sink::abort : () -> RefusalWriter.write(sink, adjusted));
  }

  /**
   * Ends the exchange unless it has ended; every end of the request goes through here.
   *
   * @param answer gives the caller its final answer
   */
  private void end(String outcome, int status, Runnable answer) {
    if (!lifecycle.tryEnd()) {
      return;
    }
    deadlineTimer.cancel(false);
    log.ended(
        new ExchangeLog.Summary("forwarded, " + outcome, status, state.attempts(), 0, 0, 0),
        Optional.empty(),
        Optional.empty());
    request.body().release();
    answer.run();
    listener.onDone();
  }

  /** The answer of one entry. */
  private final class PeerAnswer implements AttemptListener {
    private final String entry;
    private final ByteBuf body = Unpooled.buffer(256);
    private HttpResponse head;
    private boolean streaming;
    private boolean refused;
    private boolean ended;

    PeerAnswer(String entry) {
      this.entry = entry;
    }

    @Override
    public void onHead(HttpResponse response, AnswerHead answer) {
      head = response;
      refused = AnswerClassification.isRefusalOfEntry(answer);
      streaming = answer.success() && request.route().kind() == RouteKind.STREAM;
      lastRetryAfter = answer.retryAfter();
      if (streaming && !answerStarted) {
        answerStarted = true;
        sink.startChunked(answer.status(), shared.format().callerHeaders(response));
      }
    }

    @Override
    public void onContent(ByteBuf content) {
      if (streaming) {
        if (!sink.write(content.retain())) {
          attempt.setReading(false);
        }
      } else if (body.readableBytes() + content.readableBytes() > MAX_BODY_BYTES) {
        cancelAttempt();
        onFailed(AttemptFailure.UNUSABLE);
      } else {
        body.writeBytes(content, content.readerIndex(), content.readableBytes());
        sink.setHeldAnswer(new HeldAnswer(body.capacity(), this::drop));
      }
    }

    private void drop() {
      abandonAttempt();
      finish();
      refuse(ExchangeRefusals.failed(AttemptFailure.NO_MEMORY));
    }

    @Override
    public void onComplete() {
      finish();
      if (refused) {
        shared.forwarding().selector().avoid(entry, shared.ticker().read());
        start();
      } else if (streaming) {
        end("streamed", head.status().code(), sink::finish);
      } else if (answerStarted) {
        end("stream not continued", head.status().code(), sink::abort);
      } else {
        end(
            "answered",
            head.status().code(),
            () ->
                sink.send(head.status().code(), shared.format().callerHeaders(head), body.copy()));
      }
    }

    @Override
    public void onFailed(AttemptFailure failure) {
      finish();
      shared.forwarding().selector().avoid(entry, shared.ticker().read());
      if (failure.unsent()) {
        start();
      } else {
        provenNotRun = false;
        refuse(ExchangeRefusals.failed(failure));
      }
    }

    private void finish() {
      ended = true;
      attempt = null;
      sink.setHeldAnswer(HeldAnswer.NONE);
      shared.eventLoop().execute(body::release);
    }
  }
}
