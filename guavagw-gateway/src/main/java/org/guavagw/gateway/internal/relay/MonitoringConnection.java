package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.guavagw.gateway.internal.framing.RequestCheck;
import org.guavagw.gateway.internal.relay.MonitoringServer.TextAnswer;

/**
 * Answers the requests of one monitoring connection.
 *
 * <p>Invariant: a request is read only once the caller has taken the answer before; a connection on
 * which no request is completed within a time limit is closed. Traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class MonitoringConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Probes come every few seconds, or on a new connection. */
  private static final long MAX_REQUEST_MILLIS = Duration.ofSeconds(30).toMillis();

  private final Function<String, TextAnswer> answers;
  private final RequestCheck requests;
  private final MonitoringConnections connections;
  private ScheduledFuture<?> timer;

  MonitoringConnection(
      Function<String, TextAnswer> answers,
      RequestCheck requests,
      MonitoringConnections connections) {
    this.answers = answers;
    this.requests = requests;
    this.connections = connections;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    connections.add(ctx.channel());
    startTimer(ctx);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connections.remove(ctx.channel());
    if (timer != null) {
      timer.cancel(false);
    }
  }

  private void startTimer(ChannelHandlerContext ctx) {
    if (timer != null) {
      timer.cancel(false);
    }
    timer = ctx.executor().schedule(() -> ctx.close(), MAX_REQUEST_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    connections.onUsed(ctx.channel());
    startTimer(ctx);
    boolean unreadable = request.decoderResult().isFailure();
    TextAnswer answer =
        unreadable ? new TextAnswer(400, "unreadable\n") : answers.apply(request.uri());
    ctx.writeAndFlush(response(ctx, answer))
        .addListener(
            written -> {
              if (unreadable) {
                ctx.close();
              } else {
                ctx.executor().execute(requests::expectNext);
              }
            });
  }

  private static FullHttpResponse response(ChannelHandlerContext ctx, TextAnswer answer) {
    ByteBuf text = ByteBufUtil.writeUtf8(ctx.alloc(), answer.text());
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), text);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
    return response;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
