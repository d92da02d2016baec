package org.guavagw.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Sets up the channels between entries: idle detection, framing, codec, then a handler. */
final class PeerChannelInitializer extends ChannelInitializer<Channel> {
  private final PeerSettings settings;
  private final PeerCodec codec;
  private final PeerMetrics peerMetrics;
  private final Supplier<ChannelHandler> handlers;

  PeerChannelInitializer(
      PeerSettings settings,
      PeerCodec codec,
      PeerMetrics peerMetrics,
      Supplier<ChannelHandler> handlers) {
    this.settings = settings;
    this.codec = codec;
    this.peerMetrics = peerMetrics;
    this.handlers = handlers;
  }

  @Override
  protected void initChannel(Channel channel) {
    long idleMs = settings.pingInterval().toMillis();
    channel
        .pipeline()
        .addLast(new IdleStateHandler(idleMs, 0, 0, TimeUnit.MILLISECONDS))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                settings.maxFrameBytes(),
                0,
                PeerFrameCodec.LENGTH_BYTES,
                0,
                PeerFrameCodec.LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(PeerFrameCodec.LENGTH_BYTES))
        .addLast(new PeerFrameCodec(codec, peerMetrics))
        .addLast(handlers.get());
  }
}
