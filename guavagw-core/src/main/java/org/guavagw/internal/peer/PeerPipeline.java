package org.guavagw.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Sets up channels between entries: framing, codec, detection of silence, then a handler. */
final class PeerPipeline extends ChannelInitializer<Channel> {
  private final PeerSettings settings;
  private final PeerCodec codec;
  private final PeerTraffic traffic;
  private final Supplier<ChannelHandler> handlers;

  PeerPipeline(
      PeerSettings settings,
      PeerCodec codec,
      PeerTraffic traffic,
      Supplier<ChannelHandler> handlers) {
    this.settings = settings;
    this.codec = codec;
    this.traffic = traffic;
    this.handlers = handlers;
  }

  @Override
  protected void initChannel(Channel channel) {
    long silenceMs = settings.pingInterval().toMillis();
    channel
        .pipeline()
        .addLast(new IdleStateHandler(silenceMs, 0, 0, TimeUnit.MILLISECONDS))
        .addLast(
            new LengthFieldBasedFrameDecoder(
                settings.maxFrameBytes(),
                0,
                PeerFrameHandler.LENGTH_BYTES,
                0,
                PeerFrameHandler.LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(PeerFrameHandler.LENGTH_BYTES))
        .addLast(new PeerFrameHandler(codec, traffic))
        .addLast(handlers.get());
  }
}
