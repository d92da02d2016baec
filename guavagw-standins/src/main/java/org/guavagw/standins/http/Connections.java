package org.guavagw.standins.http;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * The connections of a stand-in, and faults that hit all that are open. A connection counts from
 * its first request on. Thread-safe.
 */
public final class Connections {
  private static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("guavagw.silent");

  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /** Counts a connection in. */
  public void add(Channel channel) {
    open.add(channel);
  }

  /** Whether nothing may be written to a connection any more. */
  public boolean isSilent(Channel channel) {
    return channel.hasAttr(SILENT);
  }

  /** Silences one connection for good; it stays open. */
  public void silence(Channel channel) {
    channel.attr(SILENT).set(true);
  }

  /** Silences the open connections for good; they stay open and new ones work. */
  public void silence() {
    open.forEach(this::silence);
  }

  /** Resets the open connections. */
  public void reset() {
    open.forEach(NettyChannels::reset);
  }
}
