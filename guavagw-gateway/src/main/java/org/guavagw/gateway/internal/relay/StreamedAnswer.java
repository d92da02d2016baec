package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * Passes events on as they arrive.
 *
 * <p>Invariants: only whole events are passed on, with ascending ids; the answer begins with the
 * first event, so that until then another backend server can be asked. Traffic thread only.
 */
final class StreamedAnswer implements AnswerCollector {
  private final Exchange exchange;
  private final EventSplitter splitter = new EventSplitter();
  private AnswerHead answer;
  private HttpResponse head;
  private WholeAnswer refusal;

  StreamedAnswer(Exchange exchange) {
    this.exchange = exchange;
  }

  @Override
  public void onHead(HttpResponse response, AnswerHead decoded) {
    if (!decoded.success() || AnswerVerdict.of(decoded) != AnswerVerdict.PASS) {
      refusal = new WholeAnswer(exchange);
      refusal.onHead(response, decoded);
      return;
    }
    answer = decoded;
    head = response;
    exchange.onAnswerBegins(decoded);
  }

  @Override
  public void onContent(ByteBuf content) {
    if (refusal != null) {
      refusal.onContent(content);
      return;
    }
    List<EventSplitter.Event> events = splitter.add(content);
    for (EventSplitter.Event event : events) {
      take(event);
    }
    if (exchange.isCurrent(this) && splitter.overflowed()) {
      exchange.giveUp(AttemptFailure.UNUSABLE);
    }
  }

  private void take(EventSplitter.Event event) {
    // An earlier event of the same bytes may have ended this attempt.
    if (!exchange.isCurrent(this)) {
      event.bytes().release();
    } else if (inOrder(event.id())) {
      exchange.passEvent(answer, head, event);
    } else {
      event.bytes().release();
      exchange.giveUp(AttemptFailure.UNUSABLE);
    }
  }

  private boolean inOrder(OptionalLong id) {
    OptionalLong last = exchange.lastEvent();
    return id.isEmpty() || last.isEmpty() || id.getAsLong() == last.getAsLong() + 1;
  }

  @Override
  public void onComplete() {
    if (refusal != null) {
      refusal.onComplete();
    } else if (splitter.midEvent() || nothingPassed()) {
      exchange.onFailed(AttemptFailure.BROKEN);
    } else {
      exchange.finishStream(head);
    }
  }

  private boolean nothingPassed() {
    return exchange.eventsPassed() == 0 && exchange.lastEvent().isEmpty();
  }

  @Override
  public void onFailed(AttemptFailure failure) {
    exchange.onFailed(failure);
  }

  @Override
  public void release() {
    splitter.release();
    if (refusal != null) {
      refusal.release();
    }
  }
}
