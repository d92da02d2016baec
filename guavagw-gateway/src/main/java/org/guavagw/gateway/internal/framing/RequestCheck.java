package org.guavagw.gateway.internal.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Lets only bytes pass to the decoder of requests that all readers take for the same requests. In
 * place of the first other ones comes a request whose decoder result is a {@link FramingException};
 * nothing follows it.
 *
 * <p>Invariants: one request passes at a time, the next one only after {@link #expectNext}; bytes
 * sent ahead are kept as they arrived, and reading is paused beyond {@link #MAX_BYTES_AHEAD} of
 * them. Confined to the event loop of its connection.
 */
public final class RequestCheck extends ChannelInboundHandlerAdapter {
  /** Buffers with requests sent ahead, beyond which no more is read. */
  private static final int MAX_BYTES_AHEAD = 16 * 1024;

  private static final RequestFraming RULES = new RequestFraming();

  private final FramingScanner scanner = new FramingScanner(RULES);
  private final Deque<ByteBuf> ahead = new ArrayDeque<>();
  private ChannelHandlerContext context;
  private int bytesAhead;

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof ByteBuf bytes) || scanner.fault().isPresent()) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (scanner.isComplete()) {
      ahead.addLast(bytes);
      onKept(bytes);
    } else {
      pass(bytes);
    }
  }

  private void onKept(ByteBuf bytes) {
    bytesAhead += bytes.capacity();
    if (bytesAhead >= MAX_BYTES_AHEAD) {
      context.channel().config().setAutoRead(false);
    }
  }

  /** Passes on bytes up to the end of the request. */
  private void pass(ByteBuf bytes) {
    int end = scanner.take(bytes, bytes.readerIndex());
    if (scanner.fault().isPresent()) {
      bytes.release();
      context.fireChannelRead(refused(scanner.fault().get()));
      return;
    }
    if (end == bytes.writerIndex()) {
      context.fireChannelRead(bytes);
      return;
    }
    ByteBuf request = bytes.readRetainedSlice(end - bytes.readerIndex());
    ahead.addFirst(bytes);
    onKept(bytes);
    context.fireChannelRead(request);
  }

  /** Lets the next request pass, once the one before has been answered. */
  public void expectNext() {
    if (!scanner.isComplete() || scanner.fault().isPresent()) {
      return;
    }
    scanner.expect(RULES);
    while (!scanner.isComplete() && scanner.fault().isEmpty() && !ahead.isEmpty()) {
      ByteBuf bytes = ahead.remove();
      bytesAhead -= bytes.capacity();
      pass(bytes);
    }
    if (bytesAhead < MAX_BYTES_AHEAD) {
      context.channel().config().setAutoRead(true);
    }
  }

  /** Returns the memory that the head of the request and what was sent ahead of it take. */
  public long heldBytes() {
    return bytesAhead + scanner.decodedBytes();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    releaseAhead();
    ctx.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext ctx) {
    releaseAhead();
  }

  private void releaseAhead() {
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    bytesAhead = 0;
  }

  private static DefaultFullHttpRequest refused(FramingFault fault) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    request.setDecoderResult(DecoderResult.failure(new FramingException(fault)));
    return request;
  }
}
