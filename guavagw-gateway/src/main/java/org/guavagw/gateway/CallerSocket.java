package org.guavagw.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * The listening socket for connections of callers. Thread-safe.
 *
 * <p>It does not depend on the rest of the gateway, so that it can be opened first at startup: the
 * connections of callers that arrive before the gateway is ready are queued and not refused.
 */
public final class CallerSocket implements AutoCloseable {
  /** Connections that may wait to be accepted; allows for many callers reconnecting at once. */
  private static final int BACKLOG = 1024;

  private final ServerSocketChannel channel;
  private final long listeningSinceNanos;

  private CallerSocket(ServerSocketChannel channel, long listeningSinceNanos) {
    this.channel = channel;
    this.listeningSinceNanos = listeningSinceNanos;
  }

  /** Opens a socket that listens on an address. */
  public static CallerSocket listen(InetSocketAddress address) throws IOException {
    ServerSocketChannel channel = ServerSocketChannel.open();
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(address, BACKLOG);
    return new CallerSocket(channel, System.nanoTime());
  }

  /** Returns the channel of the socket; the component that accepts its connections closes it. */
  public ServerSocketChannel channel() {
    return channel;
  }

  /** Returns the monotonic time since which connections may wait in the socket. */
  public long listeningSinceNanos() {
    return listeningSinceNanos;
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
