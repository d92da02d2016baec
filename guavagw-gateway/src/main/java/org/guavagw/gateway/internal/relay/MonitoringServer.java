package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.guavagw.gateway.internal.framing.RequestCheck;

/** Serves the readiness and the metrics of this process over HTTP. Thread-safe. */
@SuppressWarnings("FutureReturnValueIgnored")
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
    this.channel =
        transport
            .serverBootstrap()
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel accepted) {
                    accepted
                        .pipeline()
                        .addLast(new RequestCheck())
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new Handler(answers));
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

  /** Answers the requests of one connection. Traffic thread only. */
  private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Function<String, TextAnswer> answers;

    Handler(Function<String, TextAnswer> answers) {
      this.answers = answers;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      boolean unreadable = request.decoderResult().isFailure();
      TextAnswer answer =
          unreadable ? new TextAnswer(400, "unreadable\n") : answers.apply(request.uri());
      ByteBuf text = ByteBufUtil.writeUtf8(ctx.alloc(), answer.text());
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), text);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
      ChannelFuture written = ctx.writeAndFlush(response);
      if (unreadable) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
