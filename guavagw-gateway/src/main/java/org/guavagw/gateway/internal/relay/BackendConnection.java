package org.guavagw.gateway.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
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
import org.guavagw.gateway.spi.AnswerHead;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * One connection to a backend server. Confined to the traffic thread.
 *
 * <p>Invariants: an answer reaches the listener only if it names the request that waits for it; one
 * that names another request is read and dropped; an answer that ends with its connection is
 * complete only if the connection was closed in order.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class BackendConnection extends ChannelInboundHandlerAdapter {
  /** A dropped connection answers within a round trip; work that breaks off takes longer. */
  private static final long STALE_LIMIT_NANOS = Duration.ofMillis(30).toNanos();

  private static final Duration DEFAULT_IDLE = Duration.ofSeconds(30);

  private final RelayFormat format;
  private final BackendPool.Peer peer;
  private ChannelHandlerContext context;
  private AttemptListener listener;
  private String expectedId;
  private boolean answering;
  private boolean skipping;
  private boolean informational;
  private boolean sent;
  private boolean reusable = true;
  private boolean broken;
  private boolean closed;
  private boolean reused;
  private long sentNanos;
  private long uses;
  private Duration idleLimit = DEFAULT_IDLE;

  BackendConnection(RelayFormat format, BackendPool.Peer peer) {
    this.format = format;
    this.peer = peer;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  boolean usable() {
    return reusable && !closed && context.channel().isActive();
  }

  /** Sends a request on this connection, which must be free. */
  Attempt send(OutgoingRequest request, AttemptListener owner) {
    listener = owner;
    expectedId = request.id();
    answering = false;
    skipping = false;
    sent = false;
    reused = uses > 0;
    sentNanos = System.nanoTime();
    uses++;
    long use = uses;
    write(request);
    return new ConnectionAttempt(use);
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
          .addListener(f -> sent = f.isSuccess());
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
        .addListener(f -> sent = f.isSuccess());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
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

  private void onHead(HttpResponse head) {
    if (listener == null) {
      fail(AttemptFailure.UNUSABLE);
      return;
    }
    informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (informational) {
      return;
    }
    AnswerHead answer = format.answer(head);
    if (!answer.requestId().isEmpty() && !answer.requestId().equals(expectedId)) {
      skipping = true;
      return;
    }
    answering = true;
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
    if (informational) {
      informational = !last;
      return;
    }
    if (skipping) {
      skipping = !last;
      return;
    }
    if (listener == null || !answering) {
      return;
    }
    if (last && broken) {
      fail(AttemptFailure.BROKEN);
      return;
    }
    if (content.content().isReadable()) {
      listener.onContent(content.content());
    }
    if (last && listener != null) {
      complete();
    }
  }

  private void complete() {
    AttemptListener owner = listener;
    listener = null;
    answering = false;
    uses++;
    if (usable() && sent && !idleLimit.isNegative()) {
      context.channel().config().setAutoRead(true);
      peer.putIdle(this, idleLimit);
    } else {
      close();
    }
    owner.onComplete();
  }

  /** Puts a connection that carried nothing yet among the idle ones. */
  void keep() {
    peer.putIdle(this, idleLimit);
  }

  private void fail(AttemptFailure failure) {
    AttemptListener owner = listener;
    listener = null;
    close();
    if (owner != null) {
      owner.onFailed(failure);
    }
  }

  void closeIfIdleAfter(long delay, TimeUnit unit) {
    long use = uses;
    context
        .executor()
        .schedule(
            () -> {
              if (uses == use) {
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
      peer.closed(this);
    }
    context.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(brokenOrStale());
  }

  private AttemptFailure brokenOrStale() {
    boolean stale = reused && !answering && System.nanoTime() - sentNanos < STALE_LIMIT_NANOS;
    return stale ? AttemptFailure.STALE_CONNECTION : AttemptFailure.BROKEN;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    broken = true;
    fail(brokenOrStale());
  }

  /** Control over one use of the connection; does nothing once that use has ended. */
  private final class ConnectionAttempt implements Attempt {
    private final long use;

    ConnectionAttempt(long use) {
      this.use = use;
    }

    @Override
    public void cancel() {
      if (uses == use) {
        listener = null;
        close();
      }
    }

    @Override
    public void setReading(boolean reading) {
      if (uses == use) {
        context.channel().config().setAutoRead(reading);
      }
    }
  }
}
