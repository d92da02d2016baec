package org.guavagw.gateway.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.List;
import org.guavagw.gateway.CallerSocket;

/** Accepts callers, from the moment on at which it is opened. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class FrontServer implements AutoCloseable {
  private static final int MAX_INITIAL_LINE = 8192;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /** Bytes that may wait for a caller before its backend server is slowed down. */
  private static final WriteBufferWaterMark WRITE_MARKS =
      new WriteBufferWaterMark(32 * 1024, 64 * 1024);

  private final Channel channel;
  private volatile FrontParts parts;

  /** Takes the socket, whose connections wait until the server is opened. */
  public FrontServer(Transport transport, CallerSocket socket) {
    this.channel =
        transport
            .serverBootstrap(socket.channel())
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_MARKS)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    int maxHeader = parts.limits().get().maxHeaderBytes();
                    accepted
                        .pipeline()
                        .addLast(new HttpServerCodec(MAX_INITIAL_LINE, maxHeader, MAX_CHUNK_BYTES))
                        .addLast(new CallerConnection(parts));
                  }
                })
            .register()
            .syncUninterruptibly()
            .channel();
  }

  /** Begins to accept connections; does nothing if it does so already. */
  void open(FrontParts used) {
    if (parts == null) {
      parts = used;
      channel.config().setAutoRead(true);
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Closes connections on which nothing is under way. Traffic thread only. */
  void closeIdleConnections() {
    if (parts != null) {
      List.copyOf(parts.connections()).forEach(CallerConnection::closeIfIdle);
    }
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }
}
