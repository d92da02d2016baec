package org.guavagw.standins.http;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import java.lang.reflect.Field;

/**
 * Reaches the Netty channel below a Jooby request, which Jooby itself does not show. The stand-ins
 * need it to reset connections and to learn of closed ones. Stateless.
 */
public final class NettyChannels {
  private static final Field CHANNEL_CONTEXT = channelContext();

  private NettyChannels() {}

  /** The channel that a request arrived on. */
  public static Channel of(Context request) {
    try {
      return ((ChannelHandlerContext) CHANNEL_CONTEXT.get(request)).channel();
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Resets a connection, so that the peer sees an error and no orderly end. */
  public static void reset(Channel channel) {
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    var unused = channel.close();
  }

  private static Field channelContext() {
    try {
      Field field = Class.forName("io.jooby.internal.netty.NettyContext").getDeclaredField("ctx");
      field.setAccessible(true);
      return field;
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("not the expected release of Jooby", e);
    }
  }
}
