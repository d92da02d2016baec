package org.guavagw.gateway.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import org.guavagw.gateway.CallerSocket;
import org.guavagw.gateway.internal.framing.RequestCheck;

/** Accepts connections of callers once it has been opened. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored")
public final class CallerServer implements AutoCloseable {
  private static final int MAX_INITIAL_LINE_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 65_536;

  /** Bytes buffered for a caller at which reading from its backend server resumes and pauses. */
  private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARKS =
      new WriteBufferWaterMark(32 * 1024, 64 * 1024);

  private final Channel channel;
  private final long listeningSinceNanos;
  private volatile CallerConnectionDependencies shared;

  /** Creates a server on a listening socket, whose connections wait until the server is opened. */
  public CallerServer(Transport transport, CallerSocket socket) {
    this.listeningSinceNanos = socket.listeningSinceNanos();
    this.channel =
        transport
            .serverBootstrap(socket.channel())
            .handler(new AcceptFailureLog(() -> shared.log()))
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARKS)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    int maxHeaderBytes = shared.limits().get().maxHeaderBytes();
                    RequestCheck requests = new RequestCheck();
                    accepted
                        .pipeline()
                        .addLast(requests)
                        .addLast(
                            new HttpServerCodec(
                                MAX_INITIAL_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES))
                        .addLast(new CallerConnection(shared, requests));
                  }
                })
            .register()
            .syncUninterruptibly()
            .channel();
  }

  /** Starts to accept connections; has no effect if the server is already open. */
  void open(CallerConnectionDependencies dependencies) {
    if (shared == null) {
      shared = dependencies;
      channel.config().setAutoRead(true);
    }
  }

  long listeningSinceNanos() {
    return listeningSinceNanos;
  }

  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Accepts no further connections; those that are open go on. */
  void stopAccepting() {
    channel.close();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }
}
