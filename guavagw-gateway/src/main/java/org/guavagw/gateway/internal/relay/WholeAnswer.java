package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * Holds an answer until it is whole, so that one that breaks off can still be asked for again.
 *
 * <p>Invariant: nothing reaches the caller before the answer is complete. Traffic thread only.
 */
final class WholeAnswer implements AnswerCollector {
  /** Answers beyond this are given up rather than held. */
  private static final int MAX_BYTES = 8 << 20;

  private final Exchange exchange;
  private final ByteBuf body = Unpooled.buffer(256);
  private AnswerHead answer;
  private HttpHeaders headers;

  WholeAnswer(Exchange exchange) {
    this.exchange = exchange;
  }

  @Override
  public void onHead(HttpResponse head, AnswerHead decoded) {
    answer = decoded;
    headers = HopHeaders.endToEnd(head.headers());
    exchange.onAnswerBegins(decoded);
  }

  @Override
  public void onContent(ByteBuf content) {
    if (body.readableBytes() + content.readableBytes() > MAX_BYTES) {
      exchange.giveUp(AttemptFailure.UNUSABLE);
      return;
    }
    body.writeBytes(content, content.readerIndex(), content.readableBytes());
  }

  @Override
  public void onComplete() {
    AnswerVerdict verdict = AnswerVerdict.of(answer);
    if (verdict != AnswerVerdict.PASS && verdict != AnswerVerdict.SERVER_ERROR) {
      exchange.onFailed(verdict.failure());
    } else if (verdict == AnswerVerdict.SERVER_ERROR && exchange.tryRepeat()) {
      exchange.onServerError();
    } else {
      exchange.answerWhole(answer, headers, body.copy());
    }
  }

  @Override
  public void onFailed(AttemptFailure failure) {
    exchange.onFailed(failure);
  }

  @Override
  public void release() {
    body.release();
  }
}
