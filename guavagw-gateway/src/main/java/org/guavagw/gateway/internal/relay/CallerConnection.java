package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.gateway.internal.framing.RequestCheck;
import org.guavagw.gateway.internal.framing.RequestTarget;
import org.guavagw.gateway.internal.memory.EvictionReason;
import org.guavagw.gateway.internal.memory.MemoryHolder;
import org.guavagw.gateway.internal.memory.MemoryShare;
import org.guavagw.gateway.internal.memory.Standing;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * One connection of a caller. Confined to the traffic thread.
 *
 * <p>Invariants: the requests of a connection are served one at a time and in order; the next one
 * is read once the caller has taken the answer but for a rest; a request is processed only once it
 * has been received completely; what the connection holds is in the account of memory.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements AnswerSink, MemoryHolder {
  /** How long the rest of a refused body is read, so that its caller can read the refusal. */
  private static final long LINGER_MILLIS = 1000;

  private final CallerConnectionDependencies shared;
  private final RequestCheck requests;
  private Optional<MemoryShare> share = Optional.empty();
  private ChannelHandlerContext context;
  private UnreadAnswers unread;
  private HttpRequest head;
  private CallerRequest caller;
  private OptionalInt attemptsElsewhere = OptionalInt.empty();
  private final IncomingBody body = new IncomingBody();
  private boolean malformed;

  /** Bytes of the body of the request that is being served. */
  private long servedBytes;

  private HeldAnswer heldAnswer = HeldAnswer.NONE;

  private boolean answerBegun;

  private long arrivedNanos;
  private Exchange exchange;
  private boolean inFlight;

  /** Requests whose head was read and whose answer the socket has not taken completely. */
  private int unanswered;

  private boolean answerPending;
  private boolean keepAlive = true;
  private boolean closing;
  private CloseReason closeReason = CloseReason.CALLER;
  private boolean lingering;
  private IdleTimer idleTimer;

  /**
   * Creates a connection.
   *
   * @param requests the handler of the same connection that lets one request pass at a time
   */
  CallerConnection(CallerConnectionDependencies shared, RequestCheck requests) {
    this.shared = shared;
    this.requests = requests;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    unread = new UnreadAnswers(ctx.channel());
    idleTimer = new IdleTimer(ctx.executor(), () -> shared.readBarrier().runWhenRead(this::onIdle));
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    share = shared.memory().open(this);
    if (share.isEmpty()) {
      close(CloseReason.EVICTED);
      return;
    }
    shared.connections().add(this);
    idleTimer.start(limits().idleTimeout().toMillis());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    shared.connections().remove(this);
    CloseReason reason = ctx.executor().isShuttingDown() ? CloseReason.STOPPING : closeReason;
    if (unanswered > 0) {
      shared.unanswered().write(reason, callerId(), progress(), arrivedNanos);
    }
    closing = true;
    idleTimer.stop();
    body.release();
    share.ifPresent(MemoryShare::close);
    share = Optional.empty();
    if (exchange != null) {
      exchange.onConnectionClosed(reason);
    }
    if (inFlight) {
      inFlight = false;
      shared.inFlight().end();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
      return;
    }
    try {
      if (part.decoderResult().isFailure()) {
        onMalformed(part.decoderResult().cause());
        return;
      }
      if (part instanceof HttpRequest request) {
        onHead(request);
      }
      if (part instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(part);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reportHeldBytes();
  }

  private void reportHeldBytes() {
    share.ifPresent(
        s ->
            s.set(
                requests.heldBytes()
                    + body.heldBytes()
                    + servedBytes
                    + heldAnswer.bytes()
                    + unread.bytes()));
  }

  private void onMalformed(Throwable cause) {
    keepAlive = false;
    answerPending = true;
    shared.log().event("request_malformed").with("reason", String.valueOf(cause)).write();
    RefusalWriter.write(this, ExchangeRefusals.unreadable(cause));
  }

  private void onHead(HttpRequest request) {
    answerBegun = false;
    unanswered++;
    head = request;
    RequestTarget.toOriginForm(request);
    inFlight = shared.inFlight().tryBegin();
    attemptsElsewhere = Forwarding.takeAttempts(request.headers());
    arrivedNanos = shared.exchangeDependencies().ticker().read();
    keepAlive = HttpUtil.isKeepAlive(request);
    body.start(arrivedNanos);
    share.ifPresent(MemoryShare::touch);
    idleTimer.start(limits().headerTimeout().toMillis());
    Either<String, CallerRequest> decoded = shared.exchangeDependencies().format().decode(request);
    malformed = decoded.isLeft();
    caller = decoded.getOrNull();
    if (!malformed && HttpUtil.getContentLength(request, 0L) > limits().maxBodyBytes()) {
      logAndRefuse(ExchangeRefusals.bodyTooLarge());
    } else if (HttpUtil.is100ContinueExpected(request) && !malformed) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void onContent(HttpContent content) {
    if (head == null) {
      return;
    }
    if (content.content().isReadable()) {
      idleTimer.start(limits().idleTimeout().toMillis());
    }
    long now = shared.exchangeDependencies().ticker().read();
    Optional<Refusal> refusal =
        body.add(content, context.alloc(), limits().maxBodyBytes(), now, this::accessRefusal);
    if (content instanceof LastHttpContent) {
      onRequestComplete();
    } else if (refusal.isPresent()) {
      logAndRefuse(refusal.get());
    } else {
      reportHeldBytes();
    }
  }

  /** Returns why the caller is known to have no access, whatever its body is. */
  private Optional<Refusal> accessRefusal() {
    Either<Refusal, AdmissionCheck.Admission> admission = checkAdmission(head);
    return admission.isLeft()
        ? Optional.of(admission.getLeft()).filter(r -> r.retryAfter().isEmpty())
        : Optional.empty();
  }

  private void logAndRefuse(Refusal refusal) {
    RefusalLog.write(shared, callerId(), head.uri(), refusal);
    refuseIncomplete(refusal);
  }

  /** Refuses a request whose body is incomplete; the connection is closed afterwards. */
  private void refuseIncomplete(Refusal refusal) {
    head = null;
    keepAlive = false;
    lingering = true;
    answerPending = true;
    body.release();
    idleTimer.stop();
    RefusalWriter.write(this, refusal);
    reportHeldBytes();
  }

  private void onRequestComplete() {
    idleTimer.stop();
    answerPending = true;
    HttpRequest completeHead = head;
    head = null;
    Optional<Refusal> refusal = body.refusal();
    servedBytes = body.heldBytes();
    ByteBuf completeBody = body.take();
    shared.readBarrier().run(() -> serve(completeHead, completeBody, refusal));
  }

  private void serve(HttpRequest completeHead, ByteBuf completeBody, Optional<Refusal> refusal) {
    if (closing) {
      completeBody.release();
      shared.log().event("caller_left_before_dispatch").with("id", callerId()).write();
      return;
    }
    Either<Refusal, AdmissionCheck.Admission> admission =
        refusal
            .<Either<Refusal, AdmissionCheck.Admission>>map(Either::left)
            .orElseGet(() -> checkAdmission(completeHead))
            .filterOrElse(a -> inFlight, a -> ExchangeRefusals.entryStopping());
    if (admission.isLeft()) {
      completeBody.release();
      RefusalLog.write(shared, callerId(), completeHead.uri(), admission.getLeft());
      RefusalWriter.write(this, admission.getLeft());
      return;
    }
    AdmissionCheck.Admission admitted = admission.get();
    AdmittedRequest request =
        new AdmittedRequest(
            completeHead,
            caller,
            admitted.route(),
            admitted.team(),
            completeBody,
            HttpUtil.isTransferEncodingChunked(completeHead),
            shared.fromEntries() ? attemptsElsewhere : OptionalInt.empty(),
            arrivedNanos,
            admitted.view().configVersion());
    var scheduled =
        new ScheduledExchange(shared.exchangeDependencies(), request, this, () -> exchange = null);
    exchange = scheduled.exchange();
    scheduled.submit();
  }

  private Either<Refusal, AdmissionCheck.Admission> checkAdmission(HttpRequest request) {
    if (malformed) {
      keepAlive = false;
      return Either.left(
          Refusal.notRun(RefusalCode.MALFORMED_REQUEST, "the request head is not valid"));
    }
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    return shared
        .exchangeDependencies()
        .admission()
        .check(host, request.uri(), caller)
        .filterOrElse(
            admission -> shared.shutdown().admits(admission.route()),
            admission -> ExchangeRefusals.entryStopping());
  }

  private String callerId() {
    return caller == null ? "" : caller.id();
  }

  @Override
  public void setHeldAnswer(HeldAnswer held) {
    heldAnswer = held;
    reportHeldBytes();
  }

  @Override
  public void send(int status, HttpHeaders headers, ByteBuf content) {
    answerBegun = true;
    servedBytes = 0;
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    setConnection(response.headers());
    onAnswerEnded(context.writeAndFlush(response));
  }

  @Override
  public void startChunked(int status, HttpHeaders headers) {
    answerBegun = true;
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnection(response.headers());
    context.write(response);
  }

  private void setConnection(HttpHeaders headers) {
    if (!keepAlive || shared.shutdown().begun()) {
      keepAlive = false;
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public boolean write(ByteBuf chunk) {
    context.writeAndFlush(new DefaultHttpContent(chunk));
    return context.channel().isWritable();
  }

  @Override
  public void finish() {
    onAnswerEnded(context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  @Override
  public void abort() {
    close(CloseReason.BROKEN_OFF);
  }

  private void close(CloseReason reason) {
    closing = true;
    closeReason = reason;
    context.close();
  }

  /** The request stays in flight until the caller's socket has taken the whole answer. */
  private void onAnswerEnded(ChannelFuture written) {
    boolean endsInFlight = inFlight;
    inFlight = false;
    servedBytes = 0;
    heldAnswer = HeldAnswer.NONE;
    reportHeldBytes();
    written.addListener(
        f -> {
          reportHeldBytes();
          if (f.isSuccess()) {
            unanswered--;
          }
          if (endsInFlight) {
            shared.inFlight().end();
          }
        });
    if (!keepAlive) {
      closeOnceWritten(CloseReason.ANSWERED);
      return;
    }
    answerPending = false;
    caller = null;
    unread.onAnswered();
    idleTimer.start(limits().idleTimeout().toMillis());
    context.executor().execute(this::expectNext);
  }

  private void closeOnceWritten(CloseReason reason) {
    closing = true;
    ChannelFuture written = context.writeAndFlush(Unpooled.EMPTY_BUFFER);
    if (lingering) {
      context.executor().schedule(() -> close(reason), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      written.addListener(f -> close(f.isSuccess() ? reason : closeReason));
    }
  }

  private void expectNext() {
    if (answerPending || closing || !context.channel().isWritable()) {
      return;
    }
    requests.expectNext();
    reportHeldBytes();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    reportHeldBytes();
    if (!ctx.channel().isWritable()) {
      return;
    }
    if (exchange != null) {
      exchange.onWritable();
    } else {
      ctx.executor().execute(this::expectNext);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      shared.log().event("connection_failed").with("reason", String.valueOf(cause)).write();
      closeReason = CloseReason.ERROR;
    }
    ctx.close();
  }

  @Override
  public Standing standing() {
    return closing ? Standing.ANSWERED : progress();
  }

  private Standing progress() {
    if (answerPending) {
      return answerBegun || heldAnswer.bytes() > 0 ? Standing.ANSWERING : Standing.SERVING;
    }
    if (head != null) {
      return Standing.RECEIVING;
    }
    return unread.bytes() > 0 ? Standing.ANSWERED : Standing.WAITING;
  }

  @Override
  public void evict(EvictionReason reason) {
    if (standing() == Standing.RECEIVING) {
      refuseIncomplete(ExchangeRefusals.noMemoryFor(reason));
    } else if (reason == EvictionReason.MEMORY && heldAnswer.bytes() > 0 && !closing) {
      heldAnswer.drop().run();
    } else {
      close(CloseReason.EVICTED);
      heldAnswer = HeldAnswer.NONE;
      reportHeldBytes();
    }
  }

  /** Closes the connection unless a request is being received or served. */
  void closeIfIdle() {
    if (!closing && !answerPending && head == null) {
      closeOnceWritten(CloseReason.STOPPING);
    }
  }

  /** Answers a request that is being received or served, because this entry stops. */
  void endRequest() {
    if (exchange != null) {
      exchange.onEntryStopping();
    } else if (head != null && !closing) {
      refuseIncomplete(ExchangeRefusals.entryStopping());
    }
  }

  private CallerLimits limits() {
    return shared.limits().get();
  }

  private void onIdle() {
    // What was read since the timer expired has stopped it or started another one.
    if (answerPending || !idleTimer.hasExpired()) {
      return;
    }
    if (unread.areBeingTaken(shared.exchangeDependencies().ticker().read())) {
      idleTimer.start(limits().idleTimeout().toMillis());
      return;
    }
    close(CloseReason.IDLE);
  }
}
