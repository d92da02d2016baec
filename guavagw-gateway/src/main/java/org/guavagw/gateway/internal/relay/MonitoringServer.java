package org.guavagw.gateway.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.guavagw.gateway.internal.framing.RequestCheck;

/** Serves the readiness and the metrics of this process over HTTP. Thread-safe. */
public final class MonitoringServer implements AutoCloseable {
  private static final int MAX_REQUEST_BYTES = 4096;

  private final Channel channel;

  /**
   * Creates a server and starts to listen.
   *
   * @param answers returns the answer for a path
   */
  public MonitoringServer(
      Transport transport, InetSocketAddress address, Function<String, TextAnswer> answers) {
    MonitoringConnections connections = new MonitoringConnections();
    this.channel =
        transport
            .serverBootstrap()
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    RequestCheck requests = new RequestCheck();
                    accepted
                        .pipeline()
                        .addLast(requests)
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new MonitoringConnection(answers, requests, connections));
                  }
                })
            .bind(address)
            .syncUninterruptibly()
            .channel();
  }

  /** Returns the address that the server listens on. */
  public InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  /** An HTTP status and a plain-text body. Immutable. */
  public record TextAnswer(int status, String text) {}
}
