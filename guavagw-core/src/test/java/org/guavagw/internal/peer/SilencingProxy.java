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

/** TCP proxy that can stop forwarding data while its connections stay open. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class SilencingProxy implements AutoCloseable {
  private static final String HOST = "127.0.0.1";

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final Set<Channel> open = ConcurrentHashMap.newKeySet();
  private final Set<Channel> silenced = ConcurrentHashMap.newKeySet();
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

  private void connect(Channel downstream, int targetPort) {
    downstream.config().setAutoRead(false);
    Channel upstream =
        new Bootstrap()
            .group(downstream.eventLoop())
            .channel(NioSocketChannel.class)
            .handler(new ForwardingHandler(downstream))
            .connect(HOST, targetPort)
            .addListener(f -> downstream.config().setAutoRead(true))
            .channel();
    downstream.pipeline().addLast(new ForwardingHandler(upstream));
    open.add(downstream);
    open.add(upstream);
    if (silenceNew) {
      silenced.add(downstream);
      silenced.add(upstream);
    }
  }

  public int port() {
    return ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Stops forwarding on the connections that are open now. */
  public void silenceOpenConnections() {
    silenced.addAll(open);
  }

  /** Stops forwarding on all connections that are accepted from now on. */
  public void silenceNewConnections() {
    silenceNew = true;
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Forwards data from one side to the other. Confined to the event loop. */
  private final class ForwardingHandler extends ChannelInboundHandlerAdapter {
    private final Channel other;

    ForwardingHandler(Channel other) {
      this.other = other;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (silenced.contains(ctx.channel())) {
        ReferenceCountUtil.release(message);
        return;
      }
      other.writeAndFlush(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (!silenced.contains(ctx.channel())) {
        other.close();
      }
    }
  }
}
