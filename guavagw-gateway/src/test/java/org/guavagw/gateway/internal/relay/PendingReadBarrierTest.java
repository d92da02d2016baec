package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PendingReadBarrierTest {
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop eventLoop = group.next();
  private final Ticker ticker = Ticker.systemTicker();

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  @Test
  void shouldReadTheEndOfAConnectionBeforeItRunsTheTaskOfALaggingLoop() throws Exception {
    EventLoopLag lagging = new EventLoopLag(ticker.read() - Duration.ofSeconds(2).toNanos());

    assertThat(isCallerConnectedWhenTheTaskRuns(lagging)).isFalse();
  }

  @Test
  void shouldRunTheTaskAtOnceWhileTheLoopIsInTime() throws Exception {
    EventLoopLag inTime = new EventLoopLag(ticker.read() + Duration.ofSeconds(5).toNanos());

    assertThat(isCallerConnectedWhenTheTaskRuns(inTime)).isTrue();
  }

  /** Lets a caller send and leave before its connection is accepted. */
  private boolean isCallerConnectedWhenTheTaskRuns(EventLoopLag lag) throws Exception {
    PendingReadBarrier barrier = new PendingReadBarrier(eventLoop, lag, ticker);
    CompletableFuture<Boolean> connected = new CompletableFuture<>();
    Channel server = listen(barrier, connected);
    InetSocketAddress address = (InetSocketAddress) server.localAddress();
    try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
      caller.getOutputStream().write(1);
    }
    server.config().setAutoRead(true);
    return connected.get(5, TimeUnit.SECONDS);
  }

  private Channel listen(PendingReadBarrier barrier, CompletableFuture<Boolean> connected) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.AUTO_READ, false)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel accepted) {
                accepted
                    .pipeline()
                    .addLast(
                        new ChannelInboundHandlerAdapter() {
                          @Override
                          public void channelRead(ChannelHandlerContext ctx, Object message) {
                            ReferenceCountUtil.release(message);
                            barrier.run(() -> connected.complete(ctx.channel().isActive()));
                          }
                        });
              }
            })
        .bind(InetAddress.getLoopbackAddress(), 0)
        .syncUninterruptibly()
        .channel();
  }
}
