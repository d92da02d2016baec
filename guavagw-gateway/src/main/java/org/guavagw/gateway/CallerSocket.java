package org.guavagw.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The socket that callers connect to. Thread-safe.
 *
 * <p>It needs nothing else of the gateway, so that it can be opened before all else in a start:
 * callers that come meanwhile wait for the gateway instead of being refused.
 */
public final class CallerSocket implements AutoCloseable {
  /** Connections that may wait to be accepted: a burst of callers that return together. */
  private static final int BACKLOG = 1024;

  private final ServerSocketChannel channel;

  private CallerSocket(ServerSocketChannel channel) {
    this.channel = channel;
  }

  /** Listens at an address. */
  public static CallerSocket listen(InetSocketAddress address) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(address, BACKLOG);
    return new CallerSocket(channel);
  }

  /** The socket itself, which whoever accepts its connections closes. */
  public ServerSocketChannel channel() {
    return channel;
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
