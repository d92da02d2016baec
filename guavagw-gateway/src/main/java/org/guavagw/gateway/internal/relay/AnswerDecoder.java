package org.guavagw.gateway.internal.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.ReferenceCountUtil;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes the answers on one connection to a backend server and knows of bytes that belong to none.
 *
 * <p>Invariant: bytes that arrive while no request is pending are never decoded, so that they can't
 * join the next answer. Traffic thread only.
 */
final class AnswerDecoder extends HttpResponseDecoder {
  /** Within a head, the beginning of another one: the first was incomplete. */
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}");

  private final Runnable onUnexpectedBytes;
  private boolean requestPending;
  private boolean headRequest;

  /**
   * Creates a decoder that expects no answer yet.
   *
   * @param onUnexpectedBytes runs when bytes arrive while no request is pending
   */
  AnswerDecoder(HttpDecoderConfig config, Runnable onUnexpectedBytes) {
    super(config);
    this.onUnexpectedBytes = onUnexpectedBytes;
  }

  /** Records that a request is sent, whose answer comes next. */
  void onRequest(HttpMethod method) {
    requestPending = true;
    headRequest = method.equals(HttpMethod.HEAD);
  }

  /** Records that the answer is complete; returns whether no further bytes have arrived. */
  boolean onAnswerComplete() {
    requestPending = false;
    return actualReadableBytes() == 0;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    if (requestPending) {
      super.channelRead(ctx, message);
      return;
    }
    ReferenceCountUtil.release(message);
    onUnexpectedBytes.run();
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return headRequest || super.isContentAlwaysEmpty(message);
  }

  /** Returns whether a head begins with the rest of another one. */
  static boolean isJoined(HttpResponse head) {
    if (STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
      return true;
    }
    for (Map.Entry<String, String> header : head.headers()) {
      if (STATUS_LINE.matcher(header.getValue()).find()) {
        return true;
      }
    }
    return false;
  }
}
