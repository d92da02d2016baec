package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * Hears what becomes of one attempt. Called on the traffic thread; after {@code onComplete} or
 * {@code onFailed} nothing more comes.
 */
interface AttemptListener {
  void onHead(HttpResponse head, AnswerHead answer);

  /** Takes a piece of the body; the buffer is only lent. */
  void onContent(ByteBuf content);

  void onComplete();

  void onFailed(AttemptFailure failure);
}
