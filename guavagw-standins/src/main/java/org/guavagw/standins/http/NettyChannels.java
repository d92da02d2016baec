package org.guavagw.standins.http;

import io.jooby.Context;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import java.lang.reflect.Field;

/**
 * Accesses the Netty channel of a Jooby request, which Jooby does not expose. The stand-ins need it
 * to reset connections and to detect closed ones. Stateless.
 */
public final class NettyChannels {
  private static final Field CHANNEL_CONTEXT = channelContext();

  private NettyChannels() {}

  /** Returns the channel on which a request arrived. */
  public static Channel of(Context request) {
    try {
      return ((ChannelHandlerContext) CHANNEL_CONTEXT.get(request)).channel();
    } catch (IllegalAccessException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Resets a connection, so that the remote side sees an error instead of an orderly close. */
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
      throw new IllegalStateException("this version of Jooby is not supported", e);
    }
  }
}
