package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
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
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.gateway.internal.framing.FramingException;
import org.guavagw.gateway.internal.framing.RequestTarget;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * One connection of a caller. Confined to the traffic thread.
 *
 * <p>Invariants: the requests of a connection are served one at a time and in order; messages that
 * arrive meanwhile are queued; a request is processed only once it has been received completely.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerSink {
  /** Messages of further requests that are queued before reading is paused. */
  private static final int MAX_QUEUED_MESSAGES = 64;

  /**
   * A caller that takes nothing of its answer for so long counts as gone. Socket buffers hide slow
   * reading for seconds.
   */
  private static final long MAX_WRITE_STALL_NANOS = Duration.ofSeconds(20).toNanos();

  private final CallerConnectionDependencies shared;
  private final Queue<HttpObject> queued = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private HttpRequest head;
  private CallerRequest caller;
  private OptionalInt attemptsElsewhere = OptionalInt.empty();
  private final BodyBuffer body = new BodyBuffer();
  private boolean malformed;
  private long arrivedNanos;
  private Exchange exchange;
  private boolean inFlight;

  /** Bytes of answers that the caller had not taken when the connection was last idle. */
  private long unwrittenBytes;

  private long lastTakenNanos;

  private boolean answerPending;
  private boolean keepAlive = true;
  private boolean closing;
  private ScheduledFuture<?> idleTimer;

  CallerConnection(CallerConnectionDependencies shared) {
    this.shared = shared;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    shared.connections().add(this);
    startIdleTimer(limits().idleTimeout().toMillis());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    shared.connections().remove(this);
    closing = true;
    stopIdleTimer();
    queued.forEach(ReferenceCountUtil::release);
    queued.clear();
    body.release();
    if (exchange != null) {
      exchange.onCallerDisconnected();
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
    if (answerPending) {
      queued.add(part);
      if (queued.size() >= MAX_QUEUED_MESSAGES) {
        ctx.channel().config().setAutoRead(false);
      }
      return;
    }
    handle(part);
  }

  private void handle(HttpObject part) {
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

  private void onMalformed(Throwable cause) {
    keepAlive = false;
    answerPending = true;
    Refusal refusal =
        Refusal.notRun(refusalCode(cause), "the request cannot be read: " + cause.getMessage());
    shared.log().event("request_malformed").with("reason", String.valueOf(cause)).write();
    RefusalWriter.write(this, refusal);
  }

  private static RefusalCode refusalCode(Throwable cause) {
    if (cause instanceof FramingException framing) {
      return framing.fault().code();
    }
    return cause instanceof TooLongFrameException
        ? RefusalCode.REQUEST_TOO_LARGE
        : RefusalCode.MALFORMED_REQUEST;
  }

  private void onHead(HttpRequest request) {
    head = request;
    RequestTarget.toOriginForm(request);
    inFlight = shared.inFlight().tryBegin();
    attemptsElsewhere = Forwarding.takeAttempts(request.headers());
    arrivedNanos = shared.exchangeDependencies().ticker().read();
    keepAlive = HttpUtil.isKeepAlive(request);
    startIdleTimer(limits().headerTimeout().toMillis());
    Either<String, CallerRequest> decoded = shared.exchangeDependencies().format().decode(request);
    malformed = decoded.isLeft();
    caller = decoded.getOrNull();
    if (HttpUtil.is100ContinueExpected(request) && !malformed) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void onContent(HttpContent content) {
    if (head == null) {
      return;
    }
    ByteBuf chunk = content.content();
    if (chunk.isReadable()) {
      startIdleTimer(limits().idleTimeout().toMillis());
    }
    body.add(chunk, context.alloc(), limits().maxBodyBytes());
    if (content instanceof LastHttpContent) {
      onRequestComplete();
    }
  }

  private void onRequestComplete() {
    stopIdleTimer();
    answerPending = true;
    HttpRequest completeHead = head;
    head = null;
    boolean tooLarge = body.isTooLarge();
    ByteBuf completeBody = body.take();
    shared.readBarrier().run(() -> serve(completeHead, completeBody, tooLarge));
  }

  private void serve(HttpRequest completeHead, ByteBuf completeBody, boolean tooLarge) {
    if (closing) {
      completeBody.release();
      shared.log().event("caller_left_before_dispatch").with("id", callerId()).write();
      return;
    }
    Either<Refusal, AdmissionCheck.Admission> admission =
        checkAdmission(completeHead, tooLarge)
            .filterOrElse(a -> inFlight, a -> ExchangeRefusals.entryStopping());
    if (admission.isLeft()) {
      completeBody.release();
      logRefusal(completeHead, admission.getLeft());
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
        new ScheduledExchange(shared.exchangeDependencies(), request, this, this::onExchangeDone);
    exchange = scheduled.exchange();
    scheduled.submit();
  }

  private Either<Refusal, AdmissionCheck.Admission> checkAdmission(
      HttpRequest request, boolean tooLarge) {
    if (malformed) {
      keepAlive = false;
      return Either.left(
          Refusal.notRun(RefusalCode.MALFORMED_REQUEST, "the request head is not valid"));
    }
    if (tooLarge) {
      return Either.left(
          Refusal.notRun(RefusalCode.REQUEST_TOO_LARGE, "the body exceeds the size limit"));
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

  private void logRefusal(HttpRequest request, Refusal refusal) {
    shared
        .log()
        .failure("request_refused")
        .with("id", callerId())
        .with("target", request.uri())
        .with("status", refusal.code().httpStatus())
        .with("reason", refusal.reason())
        .with("config_version", shared.exchangeDependencies().currentView().get().configVersion())
        .with("orders_age_ms", shared.exchangeDependencies().currentView().ordersAge().toMillis())
        .write();
    shared.exchangeDependencies().metrics().onRefused(refusal.code().wireName());
  }

  private String callerId() {
    return caller == null ? "" : caller.id();
  }

  private void onExchangeDone() {
    exchange = null;
  }

  @Override
  public void send(int status, HttpHeaders headers, ByteBuf content) {
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
    closing = true;
    context.close();
  }

  /** The request stays in flight until the caller's socket has taken the whole answer. */
  private void onAnswerEnded(ChannelFuture written) {
    if (inFlight) {
      inFlight = false;
      written.addListener(f -> shared.inFlight().end());
    }
    if (!keepAlive) {
      closeOnceWritten();
      return;
    }
    answerPending = false;
    unwrittenBytes = Long.MAX_VALUE;
    startIdleTimer(limits().idleTimeout().toMillis());
    context.executor().execute(this::handleQueued);
  }

  private void closeOnceWritten() {
    closing = true;
    context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  private void handleQueued() {
    while (!answerPending && !closing && !queued.isEmpty()) {
      handle(queued.poll());
    }
    if (queued.size() < MAX_QUEUED_MESSAGES && !closing) {
      context.channel().config().setAutoRead(true);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (exchange != null && ctx.channel().isWritable()) {
      exchange.onWritable();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  /** Closes the connection unless a request is being received or served. */
  void closeIfIdle() {
    if (!answerPending && head == null) {
      closeOnceWritten();
    }
  }

  /** Answers a request that is being received or served, because this entry stops. */
  void endRequest() {
    if (exchange != null) {
      exchange.onEntryStopping();
    } else if (head != null && !closing) {
      head = null;
      keepAlive = false;
      answerPending = true;
      body.release();
      RefusalWriter.write(this, ExchangeRefusals.entryStopping());
    }
  }

  private CallerLimits limits() {
    return shared.limits().get();
  }

  private void startIdleTimer(long millis) {
    stopIdleTimer();
    idleTimer = context.executor().schedule(this::onIdle, millis, TimeUnit.MILLISECONDS);
  }

  private void stopIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
      idleTimer = null;
    }
  }

  private void onIdle() {
    if (answerPending) {
      return;
    }
    if (isTakingAnswer()) {
      startIdleTimer(limits().idleTimeout().toMillis());
      return;
    }
    closing = true;
    context.close();
  }

  /** Returns whether the caller has still to read, and has done so within the limit. */
  private boolean isTakingAnswer() {
    long now = shared.exchangeDependencies().ticker().read();
    long unwritten = countUnwrittenBytes();
    if (unwritten < unwrittenBytes) {
      unwrittenBytes = unwritten;
      lastTakenNanos = now;
    }
    return unwritten > 0 && now - lastTakenNanos < MAX_WRITE_STALL_NANOS;
  }

  /** Returns how much of the last answers the caller's socket has not taken yet. */
  private long countUnwrittenBytes() {
    ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }
}
