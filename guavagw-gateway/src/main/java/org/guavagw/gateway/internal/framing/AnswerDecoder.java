package org.guavagw.gateway.internal.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes the answers on one connection, as strictly as {@link AnswerFraming} says, and knows of
 * bytes that belong to none.
 *
 * <p>Invariants: bytes that arrive while no request is pending are never decoded, so that they
 * can't join the next answer; in place of the rest of an answer whose end is not certain comes an
 * answer with a failed decoder result; an answer that ends with its connection is complete only if
 * the end of what the peer sent was read, not if the connection was closed for any other reason,
 * such as a write that failed. Confined to the event loop of its connection.
 */
public final class AnswerDecoder extends HttpResponseDecoder {
  private static final AnswerFraming TO_HEAD = new AnswerFraming(true);
  private static final AnswerFraming TO_OTHERS = new AnswerFraming(false);

  private final Runnable onUnexpectedBytes;
  private final FramingScanner scanner = new FramingScanner(TO_OTHERS);
  private boolean requestPending;
  private boolean headRequest;
  private boolean surplusBytes;
  private boolean endOfInputRead;
  private boolean errorSeen;

  /**
   * Creates a decoder that expects no answer yet.
   *
   * @param onUnexpectedBytes runs when bytes arrive while no request is pending
   */
  public AnswerDecoder(HttpDecoderConfig config, Runnable onUnexpectedBytes) {
    super(config);
    this.onUnexpectedBytes = onUnexpectedBytes;
  }

  /** Records that a request is sent, whose answer comes next. */
  public void onRequest(HttpMethod method) {
    requestPending = true;
    headRequest = method.equals(HttpMethod.HEAD);
    scanner.expect(rules());
  }

  /** Records that the answer is complete; returns whether no further bytes have arrived. */
  public boolean onAnswerComplete() {
    requestPending = false;
    return !surplusBytes && actualReadableBytes() == 0;
  }

  /** Returns the memory that what is incomplete of a head, of trailers or of a line takes. */
  public long heldBytes() {
    ByteBuf unread = internalBuffer();
    ByteBuf whole = unread.unwrap() == null ? unread : unread.unwrap();
    return scanner.incompleteBytes() + whole.capacity();
  }

  /** Asks the transport to report the end of the input in place of closing the connection. */
  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    ctx.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext ctx) throws Exception {
    super.handlerRemoved0(ctx);
    scanner.freeLine();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (!requestPending || !(message instanceof ByteBuf bytes)) {
      ReferenceCountUtil.release(message);
      onUnexpectedBytes.run();
      return;
    }
    try {
      decodeAnswers(ctx, bytes);
    } finally {
      bytes.release();
    }
  }

  /** Decodes answers until the one that is pending is complete. */
  private void decodeAnswers(ChannelHandlerContext ctx, ByteBuf bytes) throws Exception {
    while (requestPending && bytes.isReadable()) {
      if (scanner.isComplete()) {
        scanner.expect(rules());
      }
      int taken = scanner.take(bytes, bytes.readerIndex()) - bytes.readerIndex();
      if (scanner.fault().isPresent()) {
        ctx.fireChannelRead(failed(scanner.fault().get()));
        return;
      }
      surplusBytes = taken < bytes.readableBytes();
      super.channelRead(ctx, bytes.readRetainedSlice(taken));
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event instanceof ChannelInputShutdownEvent) {
      endOfInputRead = !errorSeen;
      var unused = ctx.close();
      return;
    }
    super.userEventTriggered(ctx, event);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) throws Exception {
    errorSeen = true;
    super.exceptionCaught(ctx, cause);
  }

  /** Adds the end of an answer that ends with its connection only if that end was read. */
  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
      throws Exception {
    if (endOfInputRead || !scanner.endsWithConnection()) {
      super.decodeLast(ctx, in, out);
    }
  }

  private AnswerFraming rules() {
    return headRequest ? TO_HEAD : TO_OTHERS;
  }

  private static FullHttpResponse failed(FramingFault fault) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
    answer.setDecoderResult(DecoderResult.failure(new FramingException(fault)));
    return answer;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }
}
