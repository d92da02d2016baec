package org.guavagw.gateway.internal.framing;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;

/**
 * Lets only bytes pass to the decoder of requests that all readers take for the same requests. In
 * place of the first other ones comes a request whose decoder result is a {@link FramingException};
 * nothing follows it. Confined to the event loop of its connection.
 */
public final class RequestCheck extends ChannelInboundHandlerAdapter {
  private static final RequestFraming RULES = new RequestFraming();

  private final FramingScanner scanner = new FramingScanner(RULES);

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!(message instanceof ByteBuf bytes) || scanner.fault().isPresent()) {
      ReferenceCountUtil.release(message);
      return;
    }
    int begin = bytes.readerIndex();
    int index = begin;
    int accepted = begin;
    while (index < bytes.writerIndex() && scanner.fault().isEmpty()) {
      if (scanner.isComplete()) {
        scanner.expect(RULES);
      }
      index = scanner.take(bytes, index);
      accepted = scanner.isComplete() ? index : accepted;
    }
    if (scanner.fault().isEmpty()) {
      ctx.fireChannelRead(bytes);
      return;
    }
    passOn(ctx, bytes, accepted - begin);
    ctx.fireChannelRead(refused(scanner.fault().get()));
  }

  private static void passOn(ChannelHandlerContext ctx, ByteBuf bytes, int length) {
    if (length > 0) {
      ctx.fireChannelRead(bytes.readSlice(length));
    } else {
      bytes.release();
    }
  }

  private static DefaultFullHttpRequest refused(FramingFault fault) {
    DefaultFullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
    request.setDecoderResult(DecoderResult.failure(new FramingException(fault)));
    return request;
  }
}
