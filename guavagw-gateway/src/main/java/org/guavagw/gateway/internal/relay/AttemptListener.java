package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * Receives the answer to one attempt. Called on the traffic thread; {@code onComplete} or {@code
 * onFailed} is the last call.
 */
interface AttemptListener {
  void onHead(HttpResponse head, AnswerHead answer);

  /** Receives a part of the body; the buffer is valid only during the call. */
  void onContent(ByteBuf content);

  void onComplete();

  void onFailed(AttemptFailure failure);
}
