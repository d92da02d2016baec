package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * One connection of a caller. Confined to the traffic thread.
 *
 * <p>Invariants: requests of a connection are served one after another, in order; what arrives
 * meanwhile waits; a request is acted on only once it has been read whole.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerSink {
  /** Messages of further requests that may wait before reading stops. */
  private static final int MAX_WAITING_MESSAGES = 64;

  private final FrontParts parts;
  private final Queue<HttpObject> waiting = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private HttpRequest head;
  private CallerRequest caller;
  private ByteBuf body = Unpooled.EMPTY_BUFFER;
  private boolean malformed;
  private boolean tooLarge;
  private long arrivedNanos;
  private Exchange exchange;
  private boolean answering;
  private boolean keepAlive = true;
  private boolean closing;
  private ScheduledFuture<?> idleTimer;

  CallerConnection(FrontParts parts) {
    this.parts = parts;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    parts.connections().add(this);
    startIdleTimer(limits().idleTimeout().toMillis());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    parts.connections().remove(this);
    closing = true;
    stopIdleTimer();
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
    body.release();
    body = Unpooled.EMPTY_BUFFER;
    if (exchange != null) {
      exchange.onCallerGone();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (answering) {
      waiting.add(part);
      if (waiting.size() >= MAX_WAITING_MESSAGES) {
        ctx.channel().config().setAutoRead(false);
      }
      return;
    }
    take(part);
  }

  private void take(HttpObject part) {
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
    answering = true;
    boolean large = cause instanceof TooLongFrameException;
    Refusal refusal =
        Refusal.notRun(
            large ? RefusalCode.REQUEST_TOO_LARGE : RefusalCode.MALFORMED_REQUEST,
            "the request cannot be read: " + cause.getMessage());
    parts.log().event("request_malformed").with("reason", String.valueOf(cause)).write();
    OwnAnswers.send(this, refusal);
  }

  private void onHead(HttpRequest request) {
    head = request;
    arrivedNanos = parts.exchanges().ticker().read();
    keepAlive = HttpUtil.isKeepAlive(request);
    tooLarge = false;
    startIdleTimer(limits().headerTimeout().toMillis());
    Either<String, CallerRequest> decoded = parts.exchanges().format().decode(request);
    malformed = decoded.isLeft() || hasAmbiguousLength(request);
    caller = decoded.getOrNull();
    if (HttpUtil.is100ContinueExpected(request) && !malformed) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Two ways to tell where a body ends could hide a second request in the body of the first. */
  private static boolean hasAmbiguousLength(HttpRequest request) {
    HttpHeaders headers = request.headers();
    return headers.contains(HttpHeaderNames.TRANSFER_ENCODING)
        && headers.contains(HttpHeaderNames.CONTENT_LENGTH);
  }

  private void onContent(HttpContent content) {
    if (head == null) {
      return;
    }
    ByteBuf piece = content.content();
    if (piece.isReadable()) {
      startIdleTimer(limits().idleTimeout().toMillis());
    }
    if (body.readableBytes() + piece.readableBytes() > limits().maxBodyBytes()) {
      tooLarge = true;
    } else if (piece.isReadable()) {
      if (body.maxCapacity() == 0) {
        body = context.alloc().buffer(piece.readableBytes());
      }
      body.writeBytes(piece, piece.readerIndex(), piece.readableBytes());
    }
    if (content instanceof LastHttpContent) {
      onWholeRequest();
    }
  }

  private void onWholeRequest() {
    stopIdleTimer();
    answering = true;
    HttpRequest whole = head;
    head = null;
    ByteBuf wholeBody = body;
    body = Unpooled.EMPTY_BUFFER;
    Either<Refusal, RequestGate.Admission> admission = admit(whole);
    if (admission.isLeft()) {
      wholeBody.release();
      logRefusal(whole, admission.getLeft());
      OwnAnswers.send(this, admission.getLeft());
      return;
    }
    RequestGate.Admission admitted = admission.get();
    AdmittedRequest request =
        new AdmittedRequest(
            whole,
            caller,
            admitted.route(),
            admitted.team(),
            wholeBody,
            HttpUtil.isTransferEncodingChunked(whole),
            arrivedNanos,
            admitted.view().configVersion());
    parts.inFlight().tryBegin();
    exchange = new Exchange(parts.exchanges(), request, this, this::onExchangeDone);
    exchange.start();
  }

  private Either<Refusal, RequestGate.Admission> admit(HttpRequest request) {
    if (malformed) {
      keepAlive = false;
      return Either.left(
          Refusal.notRun(RefusalCode.MALFORMED_REQUEST, "the request's head is not valid"));
    }
    if (tooLarge) {
      return Either.left(Refusal.notRun(RefusalCode.REQUEST_TOO_LARGE, "the body is too long"));
    }
    String host = request.headers().get(HttpHeaderNames.HOST, "");
    return parts
        .exchanges()
        .gate()
        .check(host, request.uri(), caller)
        .filterOrElse(
            admission -> parts.shutdown().admits(admission.route()),
            admission ->
                Refusal.notRun(
                    RefusalCode.SHUTTING_DOWN,
                    "this entry stops before the request could end",
                    RetryAfter.SHUTTING_DOWN));
  }

  private void logRefusal(HttpRequest request, Refusal refusal) {
    parts
        .log()
        .failure("request_refused")
        .with("id", caller == null ? "" : caller.id())
        .with("target", request.uri())
        .with("status", refusal.code().httpStatus())
        .with("reason", refusal.reason())
        .with("config_version", parts.exchanges().currentView().get().configVersion())
        .with("orders_age_ms", parts.exchanges().currentView().ordersAge().toMillis())
        .write();
    parts.exchanges().metrics().onRefused(refusal.code().wireName());
  }

  private void onExchangeDone() {
    exchange = null;
    parts.inFlight().end();
  }

  @Override
  public void answer(int status, HttpHeaders headers, ByteBuf content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), content);
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    setConnection(response.headers());
    context.writeAndFlush(response);
    answerEnded();
  }

  @Override
  public void begin(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    setConnection(response.headers());
    context.write(response);
  }

  private void setConnection(HttpHeaders headers) {
    if (!keepAlive || parts.shutdown().begun()) {
      keepAlive = false;
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  @Override
  public boolean write(ByteBuf piece) {
    context.writeAndFlush(new DefaultHttpContent(piece));
    return context.channel().isWritable();
  }

  @Override
  public void finish() {
    context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    answerEnded();
  }

  @Override
  public void abort() {
    closing = true;
    context.close();
  }

  private void answerEnded() {
    if (!keepAlive) {
      closing = true;
      context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    answering = false;
    startIdleTimer(limits().idleTimeout().toMillis());
    context.executor().execute(this::takeWaiting);
  }

  private void takeWaiting() {
    while (!answering && !closing && !waiting.isEmpty()) {
      take(waiting.poll());
    }
    if (waiting.size() < MAX_WAITING_MESSAGES && !closing) {
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

  /** Closes the connection if no request of it is being read or served. */
  void closeIfIdle() {
    if (!answering && head == null) {
      closing = true;
      context.close();
    }
  }

  private CallerLimits limits() {
    return parts.limits().get();
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
    if (!answering) {
      closing = true;
      context.close();
    }
  }
}
