package org.guavagw.standins.http;

import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.AttributeKey;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * The open connections of a stand-in, which can be silenced or reset. A connection is registered at
 * its first request. Thread-safe.
 */
public final class Connections {
  private static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("guavagw.silent");

  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);

  /** Registers a connection. */
  public void add(Channel channel) {
    open.add(channel);
  }

  /** Returns whether a connection was silenced, so that nothing may be written to it. */
  public boolean isSilent(Channel channel) {
    return channel.hasAttr(SILENT);
  }

  /** Permanently stops output on one connection, which stays open. */
  public void silence(Channel channel) {
    channel.attr(SILENT).set(true);
  }

  /** Permanently stops output on the open connections, which stay open; new ones work. */
  public void silence() {
    open.forEach(this::silence);
  }

  /** Resets the open connections. */
  public void reset() {
    open.forEach(NettyChannels::reset);
  }
}
