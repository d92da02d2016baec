package org.guavagw.gateway.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * One event loop and the sockets on it: native epoll where it can be had, which also finds
 * connections that went silent, else NIO. Thread-safe.
 */
public final class Transport implements AutoCloseable {
  /**
   * First probe of an idle connection; finds silence within a few seconds together with those
   * below.
   */
  private static final int KEEPALIVE_IDLE_SECONDS = 1;

  private static final int KEEPALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEPALIVE_PROBES = 2;

  /** Bytes that stay unacknowledged for this long break the connection. */
  private static final int UNACKNOWLEDGED_LIMIT_MILLIS = 2500;

  /** Connections that may wait to be accepted: a burst of callers that return together. */
  private static final int ACCEPT_BACKLOG = 1024;

  private final boolean epoll = Epoll.isAvailable();
  private final EventLoopGroup group;

  /** A transport with a thread of this name. */
  public Transport(String threadName) {
    DefaultThreadFactory threads = new DefaultThreadFactory(threadName, true);
    this.group = epoll ? new EpollEventLoopGroup(1, threads) : new NioEventLoopGroup(1, threads);
  }

  /** The event loop. */
  public EventLoopGroup group() {
    return group;
  }

  /** For connections that this process opens. */
  public Bootstrap clientBootstrap() {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(epoll ? EpollSocketChannel.class : NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true);
    if (epoll) {
      bootstrap
          .option(EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
          .option(EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBES)
          .option(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MILLIS);
    }
    return bootstrap;
  }

  /** For connections that others open. */
  public ServerBootstrap serverBootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
        .childOption(ChannelOption.TCP_NODELAY, true);
  }

  @Override
  public void close() {
    group
        .shutdownGracefully(0, Duration.ofSeconds(1).toMillis(), TimeUnit.MILLISECONDS)
        .syncUninterruptibly();
  }
}
