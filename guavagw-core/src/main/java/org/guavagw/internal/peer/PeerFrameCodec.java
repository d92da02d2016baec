package org.guavagw.internal.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.util.List;

/** Encodes and decodes frames and counts them. Each channel has its own instance. */
final class PeerFrameCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {
  static final int LENGTH_BYTES = 3;

  private final PeerCodec codec;
  private final PeerMetrics peerMetrics;

  PeerFrameCodec(PeerCodec codec, PeerMetrics peerMetrics) {
    this.codec = codec;
    this.peerMetrics = peerMetrics;
  }

  @Override
  protected void encode(ChannelHandlerContext ctx, PeerFrame frame, List<Object> out) {
    byte[] content = codec.encode(frame);
    peerMetrics.countSent(frame, content.length + LENGTH_BYTES);
    out.add(Unpooled.wrappedBuffer(content));
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf content, List<Object> out) {
    PeerFrame frame = codec.decode(ByteBufUtil.getBytes(content), PeerFrame.class);
    peerMetrics.countReceived(frame, content.readableBytes() + LENGTH_BYTES);
    out.add(frame);
  }
}
