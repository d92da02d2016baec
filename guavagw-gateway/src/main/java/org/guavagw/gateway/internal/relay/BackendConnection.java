package org.guavagw.gateway.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.framing.AnswerDecoder;
import org.guavagw.gateway.internal.memory.HeldBytesLimit;
import org.guavagw.gateway.spi.AnswerHead;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * One connection to a backend server. Confined to the traffic thread.
 *
 * <p>Invariants: an answer reaches the listener only if it names the pending request; on the first
 * use of the connection, and on those to other entries, it may also name none. An answer that names
 * another request is read and dropped, as long as these are few, and the connection is not used
 * again, nor after bytes that belong to no answer. What an incomplete head holds is within the
 * limit of all connections.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class BackendConnection extends ChannelInboundHandlerAdapter {
  /**
   * A connection that the backend server has dropped fails within a round trip; a request that
   * fails during its execution takes longer.
   */
  private static final long STALE_LIMIT_NANOS = Duration.ofMillis(30).toNanos();

  private static final Duration DEFAULT_IDLE_LIMIT = Duration.ofSeconds(30);

  private final RelayFormat format;
  private final boolean answersNamed;
  private final BackendConnectionPool.ServerConnections serverConnections;
  private final Runnable onReceived;
  private final HeldBytesLimit.Part held;
  private AnswerDecoder decoder;
  private ChannelHandlerContext context;
  private AttemptListener listener;
  private String expectedId;
  private boolean receivingAnswer;
  private boolean skippingAnswer;
  private boolean receivingInformational;
  private IgnoredAnswers ignored = new IgnoredAnswers();
  private boolean requestSent;
  private boolean reusable = true;
  private boolean received;
  private boolean closed;
  private boolean reused;
  private long sentNanos;

  /** Incremented whenever a use of the connection starts or ends. */
  private long generation;

  private Duration idleLimit = DEFAULT_IDLE_LIMIT;

  /**
   * Creates a connection that is not open yet.
   *
   * @param onReceived runs once for all that is read of an answer at a time
   * @param incompleteHeads the limit on what all connections hold of heads
   */
  BackendConnection(
      RelayFormat format,
      boolean answersNamed,
      BackendConnectionPool.ServerConnections serverConnections,
      Runnable onReceived,
      HeldBytesLimit incompleteHeads) {
    this.format = format;
    this.answersNamed = answersNamed;
    this.serverConnections = serverConnections;
    this.onReceived = onReceived;
    this.held = incompleteHeads.newPart(this::drop);
  }

  /** Creates the decoder of the answers on this connection. */
  AnswerDecoder openDecoder(HttpDecoderConfig config) {
    decoder = new AnswerDecoder(config, this::close);
    return decoder;
  }

  /** Returns whether this connection has carried a request most recently. */
  boolean hasCarried(String requestId) {
    return requestId.equals(expectedId);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  boolean isUsable() {
    return reusable && !closed && context.channel().isActive();
  }

  /** Sends a request on this connection, which must be free. */
  Attempt send(OutgoingRequest request, AttemptListener receiver) {
    listener = receiver;
    expectedId = request.id();
    receivingAnswer = false;
    skippingAnswer = false;
    ignored = new IgnoredAnswers();
    requestSent = false;
    reused = generation > 0;
    sentNanos = System.nanoTime();
    generation++;
    long ownGeneration = generation;
    decoder.onRequest(request.method());
    write(request);
    return new ConnectionAttempt(ownGeneration);
  }

  private void write(OutgoingRequest request) {
    HttpHeaders headers = request.headers();
    if (request.chunked()) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      context.write(
          new DefaultHttpRequest(
              HttpVersion.HTTP_1_1, request.method(), request.target(), headers));
      context
          .writeAndFlush(new DefaultLastHttpContent(request.body().retainedDuplicate()))
          .addListener(f -> requestSent = f.isSuccess());
      return;
    }
    if (request.body().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    context
        .writeAndFlush(
            new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.target(),
                request.body().retainedDuplicate(),
                headers,
                new DefaultLastHttpContent().trailingHeaders()))
        .addListener(f -> requestSent = f.isSuccess());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    received = true;
    try {
      if (!(message instanceof HttpObject part) || part.decoderResult().isFailure()) {
        fail(AttemptFailure.UNUSABLE);
        return;
      }
      if (part instanceof HttpResponse head) {
        onHead(head);
      }
      if (part instanceof HttpContent content) {
        onContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!closed) {
      held.set(decoder.heldBytes());
    }
    if (received) {
      received = false;
      onReceived.run();
    }
    ctx.fireChannelReadComplete();
  }

  private void onHead(HttpResponse head) {
    if (listener == null) {
      fail(AttemptFailure.UNUSABLE);
      return;
    }
    receivingInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (receivingInformational) {
      ignored.addHead();
      failIfTooMuchIgnored();
      return;
    }
    AnswerHead answer = format.answer(head);
    boolean unnamed = answer.requestId().isEmpty() && !expectedId.isEmpty();
    if (unnamed && answersNamed && reused) {
      fail(AttemptFailure.UNUSABLE);
      return;
    }
    if (!unnamed && !answer.requestId().equals(expectedId)) {
      skippingAnswer = true;
      reusable = false;
      ignored.addHead();
      failIfTooMuchIgnored();
      return;
    }
    receivingAnswer = true;
    if (!HttpUtil.isKeepAlive(head) || endsWithConnection(head)) {
      reusable = false;
    }
    answer.keepAliveSeconds().ifPresent(s -> idleLimit = Duration.ofMillis(s * 1000L - 500L));
    listener.onHead(head, answer);
  }

  private static boolean endsWithConnection(HttpResponse head) {
    return !HttpUtil.isContentLengthSet(head)
        && !HttpUtil.isTransferEncodingChunked(head)
        && !head.status().equals(HttpResponseStatus.NO_CONTENT);
  }

  private void onContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (receivingInformational || skippingAnswer) {
      receivingInformational &= !last;
      skippingAnswer &= !last;
      ignored.addBody(content.content().readableBytes());
      failIfTooMuchIgnored();
      return;
    }
    if (listener == null || !receivingAnswer) {
      return;
    }
    if (content.content().isReadable()) {
      listener.onContent(content.content());
    }
    if (last && listener != null) {
      complete();
    }
  }

  private void failIfTooMuchIgnored() {
    if (ignored.exceedLimit()) {
      fail(AttemptFailure.UNUSABLE);
    }
  }

  private void complete() {
    AttemptListener receiver = listener;
    listener = null;
    receivingAnswer = false;
    generation++;
    boolean clean = decoder.onAnswerComplete();
    if (clean && isUsable() && requestSent && !idleLimit.isNegative()) {
      context.channel().config().setAutoRead(true);
      serverConnections.putIdle(this, idleLimit);
    } else {
      close();
    }
    receiver.onComplete();
  }

  /** Adds a new connection to the idle connections before its first use. */
  void addToIdle() {
    serverConnections.putIdle(this, idleLimit);
  }

  private void fail(AttemptFailure failure) {
    AttemptListener receiver = listener;
    listener = null;
    close();
    if (receiver != null) {
      receiver.onFailed(failure);
    }
  }

  /** Frees the memory at once, and not only when the close takes effect. */
  private void drop() {
    fail(AttemptFailure.NO_MEMORY);
    context.pipeline().remove(decoder);
  }

  void closeIfIdleAfter(long delay, TimeUnit unit) {
    long ownGeneration = generation;
    context
        .executor()
        .schedule(
            () -> {
              if (generation == ownGeneration) {
                close();
              }
            },
            delay,
            unit);
  }

  void close() {
    reusable = false;
    if (!closed) {
      closed = true;
      held.set(0);
      serverConnections.onClosed(this);
    }
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(brokenOrStale());
  }

  private AttemptFailure brokenOrStale() {
    boolean stale = reused && !receivingAnswer && System.nanoTime() - sentNanos < STALE_LIMIT_NANOS;
    return stale ? AttemptFailure.STALE_CONNECTION : AttemptFailure.BROKEN;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    fail(brokenOrStale());
  }

  /** Controls one use of the connection; has no effect once that use has ended. */
  private final class ConnectionAttempt implements Attempt {
    private final long ownGeneration;

    ConnectionAttempt(long ownGeneration) {
      this.ownGeneration = ownGeneration;
    }

    @Override
    public void cancel() {
      if (generation == ownGeneration) {
        listener = null;
        close();
      }
    }

    @Override
    public void setReading(boolean reading) {
      if (generation == ownGeneration) {
        context.channel().config().setAutoRead(reading);
      }
    }
  }
}
