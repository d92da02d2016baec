package org.guavagw.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.OptionalLong;
import org.guavagw.gateway.spi.AnswerHead;

/**
 * Forwards events to the caller as they arrive.
 *
 * <p>Invariants: only complete events are forwarded; their ids are consecutive, and an event
 * without an id never follows one that has one, so that an error can't join a stream that has
 * begun; the answer to the caller starts with the first event, so that the request can be retried
 * until then. Traffic thread only.
 */
final class StreamedAnswerForwarder implements AnswerForwarder {
  private final Exchange exchange;
  private final AnswerSink sink;
  private final EventSplitter splitter = new EventSplitter();
  private AnswerHead answer;
  private HttpResponse head;
  private BufferedAnswerForwarder errorAnswer;

  StreamedAnswerForwarder(Exchange exchange, AnswerSink sink) {
    this.exchange = exchange;
    this.sink = sink;
  }

  @Override
  public void onHead(HttpResponse response, AnswerHead decoded) {
    if (!decoded.success() || AnswerClassification.of(decoded) != AnswerClassification.USABLE) {
      errorAnswer = new BufferedAnswerForwarder(exchange, sink);
      errorAnswer.onHead(response, decoded);
      return;
    }
    answer = decoded;
    head = response;
    exchange.onAnswerStarted(decoded);
  }

  @Override
  public void onContent(ByteBuf content) {
    if (errorAnswer != null) {
      errorAnswer.onContent(content);
      return;
    }
    List<EventSplitter.Event> events = splitter.add(content);
    for (EventSplitter.Event event : events) {
      forward(event);
    }
    if (!exchange.isCurrent(this)) {
      return;
    }
    if (splitter.overflowed()) {
      exchange.cancelAttempt(AttemptFailure.UNUSABLE);
    } else {
      sink.setHeldAnswer(new HeldAnswer(splitter.heldBytes(), this::drop));
    }
  }

  private void drop() {
    exchange.cancelAttempt(AttemptFailure.NO_MEMORY);
  }

  private void forward(EventSplitter.Event event) {
    // An earlier event in the same buffer may have ended this attempt.
    if (!exchange.isCurrent(this)) {
      event.bytes().release();
    } else if (inOrder(event.id())) {
      exchange.forwardEvent(answer, head, event);
    } else {
      event.bytes().release();
      exchange.cancelAttempt(AttemptFailure.UNUSABLE);
    }
  }

  private boolean inOrder(OptionalLong id) {
    OptionalLong last = exchange.stream().lastEventId();
    if (last.isEmpty()) {
      return true;
    }
    return id.isPresent() && id.getAsLong() == last.getAsLong() + 1;
  }

  @Override
  public void onComplete() {
    if (errorAnswer != null) {
      errorAnswer.onComplete();
    } else if (splitter.hasPartialEvent() || nothingForwarded()) {
      exchange.onAttemptFailed(AttemptFailure.BROKEN);
    } else {
      exchange.finishStream(head, splitter.takeRest());
    }
  }

  private boolean nothingForwarded() {
    return exchange.stream().events() == 0 && exchange.stream().lastEventId().isEmpty();
  }

  @Override
  public void onFailed(AttemptFailure failure) {
    exchange.onAttemptFailed(failure);
  }

  @Override
  public void release() {
    splitter.release();
    if (errorAnswer != null) {
      errorAnswer.release();
    }
  }
}
