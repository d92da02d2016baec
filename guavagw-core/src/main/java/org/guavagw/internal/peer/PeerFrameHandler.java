package org.guavagw.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;

/** Turns frames into bytes and back, and counts them. One for each channel. */
final class PeerFrameHandler extends MessageToMessageCodec<ByteBuf, PeerFrame> {
  static final int LENGTH_BYTES = 3;

  private final PeerCodec codec;
  private final PeerTraffic traffic;

  PeerFrameHandler(PeerCodec codec, PeerTraffic traffic) {
    this.codec = codec;
    this.traffic = traffic;
  }

  @Override
  protected void encode(ChannelHandlerContext ctx, PeerFrame frame, List<Object> out) {
    byte[] content = codec.encode(frame);
    traffic.sent(frame, content.length + LENGTH_BYTES);
    out.add(Unpooled.wrappedBuffer(content));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf content, List<Object> out) {
    PeerFrame frame = codec.decode(ByteBufUtil.getBytes(content), PeerFrame.class);
    traffic.received(frame, content.readableBytes() + LENGTH_BYTES);
    out.add(frame);
  }
}
