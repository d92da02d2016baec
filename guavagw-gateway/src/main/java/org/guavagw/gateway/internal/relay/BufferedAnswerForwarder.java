package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * Buffers an answer until it is complete, so that the request can be retried if the answer breaks
 * off.
 *
 * <p>Invariant: nothing reaches the caller before the answer is complete. Traffic thread only.
 */
final class BufferedAnswerForwarder implements AnswerForwarder {
  /** Larger answers fail their attempt instead of being buffered. */
  private static final int MAX_BODY_BYTES = 8 << 20;

  private final Exchange exchange;
  private final AnswerSink sink;
  private final ByteBuf body = Unpooled.buffer(256);
  private AnswerHead answer;
  private HttpHeaders headers;

  BufferedAnswerForwarder(Exchange exchange, AnswerSink sink) {
    this.exchange = exchange;
    this.sink = sink;
  }

  @Override
  public void onHead(HttpResponse head, AnswerHead decoded) {
    answer = decoded;
    headers = exchange.callerHeaders(head);
    exchange.onAnswerStarted(decoded);
  }

  @Override
  public void onContent(ByteBuf content) {
    if (body.readableBytes() + content.readableBytes() > MAX_BODY_BYTES) {
      exchange.cancelAttempt(AttemptFailure.UNUSABLE);
      return;
    }
    body.writeBytes(content, content.readerIndex(), content.readableBytes());
    sink.setHeldAnswer(new HeldAnswer(body.capacity(), this::drop));
  }

  private void drop() {
    exchange.cancelAttempt(AttemptFailure.NO_MEMORY);
  }

  @Override
  public void onComplete() {
    AnswerClassification classification = AnswerClassification.of(answer);
    if (classification != AnswerClassification.USABLE
        && classification != AnswerClassification.SERVER_ERROR) {
      sink.setHeldAnswer(HeldAnswer.NONE);
      exchange.onAttemptFailed(classification.failure());
    } else if (classification == AnswerClassification.SERVER_ERROR && exchange.tryAcquireRetry()) {
      sink.setHeldAnswer(HeldAnswer.NONE);
      exchange.retryAfterServerError();
    } else {
      exchange.forwardBuffered(answer, headers, body.retain());
    }
  }

  @Override
  public void onFailed(AttemptFailure failure) {
    sink.setHeldAnswer(HeldAnswer.NONE);
    exchange.onAttemptFailed(failure);
  }

  @Override
  public void release() {
    body.release();
  }
}
