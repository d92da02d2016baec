package org.guavagw.internal.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.util.function.Consumer;

/**
 * Channel operations whose returned futures can be ignored: a failed write closes the channel, and
 * every close completes the channel's close future. Stateless.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class ChannelActions {
  private ChannelActions() {}

  static void write(Channel channel, PeerFrame frame) {
    channel.writeAndFlush(frame);
  }

  static void write(ChannelHandlerContext ctx, PeerFrame frame) {
    ctx.writeAndFlush(frame);
  }

  static void close(Channel channel) {
    channel.close();
  }

  static void close(ChannelHandlerContext ctx) {
    ctx.close();
  }

  static void onClose(Channel channel, Consumer<Channel> listener) {
    channel.closeFuture().addListener(f -> listener.accept(channel));
  }
}
