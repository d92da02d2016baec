package org.guavagw.internal.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Relays connections to a port; on request they stay open and carry nothing. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class SilencingProxy implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();
  private final Set<Channel> silent = ConcurrentHashMap.newKeySet();
  private final Channel server;
  private volatile boolean silenceNew;

  public SilencingProxy(int targetPort) {
    this.server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connect(channel, targetPort);
                  }
                })
            .bind(HOST, 0)
            .syncUninterruptibly()
            .channel();
  }

  private void connect(Channel near, int targetPort) {
    near.config().setAutoRead(false);
    Channel far =
        new Bootstrap()
            .group(near.eventLoop())
            .channel(NioSocketChannel.class)
            .handler(new Relay(near))
            .connect(HOST, targetPort)
            .addListener(f -> near.config().setAutoRead(true))
            .channel();
    near.pipeline().addLast(new Relay(far));
    open.add(near);
    open.add(far);
    if (silenceNew) {
      silent.add(near);
      silent.add(far);
    }
  }

  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Carries nothing more on the connections that are open now. */
  public void silenceOpenConnections() {
    silent.addAll(open);
  }

  /** Carries nothing on connections from now on. */
  public void silenceNewConnections() {
    silenceNew = true;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Writes what one side sends to the other. Confined to the event loop. */
  private final class Relay extends ChannelInboundHandlerAdapter {
    private final Channel other;

    Relay(Channel other) {
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (silent.contains(ctx.channel())) {
        ReferenceCountUtil.release(message);
        return;
      }
      other.writeAndFlush(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!silent.contains(ctx.channel())) {
        other.close();
      }
    }
  }
}
