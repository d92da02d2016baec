package org.guavagw.gateway.internal.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.channels.ServerSocketChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import jdk.net.ExtendedSocketOptions;

/**
 * An event loop and the bootstraps for its sockets, with TCP keep-alive probes that detect dead
 * connections. Thread-safe.
 */
public final class Transport implements AutoCloseable {
  /**
   * Idle time before the first probe; together with the values below, a dead connection is detected
   * within a few seconds.
   */
  private static final int KEEPALIVE_IDLE_SECONDS = 1;

  private static final int KEEPALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEPALIVE_PROBES = 2;

  /** Connections that may wait to be accepted. */
  private static final int ACCEPT_BACKLOG = 256;

  private final EventLoopGroup group;

  /** Creates a transport with a thread of this name. */
  public Transport(String threadName) {
    this.group = new NioEventLoopGroup(1, new DefaultThreadFactory(threadName, true));
  }

  /** Returns the event loop group, which has one thread. */
  public EventLoopGroup group() {
    return group;
  }

  /** Returns a bootstrap for outgoing connections. */
  public Bootstrap clientBootstrap() {
    return new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.ALLOCATOR, PooledByteBufAllocator.DEFAULT)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_SECONDS)
        .option(
            NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES);
  }

  /** Returns a bootstrap for incoming connections. */
  public ServerBootstrap serverBootstrap() {
    return serverBootstrap(NioServerSocketChannel::new);
  }

  /** Returns a bootstrap for incoming connections of a socket that is already listening. */
  public ServerBootstrap serverBootstrap(ServerSocketChannel listening) {
    return serverBootstrap(() -> new NioServerSocketChannel(listening));
  }

  private ServerBootstrap serverBootstrap(ChannelFactory<NioServerSocketChannel> channels) {
    return new ServerBootstrap()
        .group(group)
        .channelFactory(channels)
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
