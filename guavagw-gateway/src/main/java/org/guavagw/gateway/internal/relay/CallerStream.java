package org.guavagw.gateway.internal.relay;

import io.netty.handler.codec.http.HttpResponse;
import java.util.OptionalLong;
import org.guavagw.gateway.spi.RelayFormat;

/**
 * What a caller has of a streamed answer.
 *
 * <p>Invariant: the answer starts once, however many attempts it takes. Traffic thread only.
 */
final class CallerStream {
  private final AnswerSink sink;
  private final RelayFormat format;
  private boolean started;
  private OptionalLong lastEventId;
  private int events;
  private long firstEventNanos;

  /**
   * Creates a stream that has not started.
   *
   * @param resumeAfter id of the last event that the caller has of an earlier request
   */
  CallerStream(AnswerSink sink, RelayFormat format, OptionalLong resumeAfter) {
    this.sink = sink;
    this.format = format;
    this.lastEventId = resumeAfter;
  }

  /** Returns whether the caller has the head of the answer, so that it can't be refused. */
  boolean started() {
    return started;
  }

  /** Returns the id of the last event that the caller has. */
  OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns the number of events that were passed on. */
  int events() {
    return events;
  }

  /** Returns the monotonic time of the first event; 0 if there was none. */
  long firstEventNanos() {
    return firstEventNanos;
  }

  /** Starts the answer unless it has started. */
  void startOnce(HttpResponse head) {
    if (!started) {
      started = true;
      sink.startChunked(head.status().code(), format.callerHeaders(head));
    }
  }

  /**
   * Passes an event on and takes ownership of its bytes. Returns whether more can be written
   * without exceeding the write buffer limit.
   */
  boolean write(EventSplitter.Event event, long nowNanos) {
    if (events == 0) {
      firstEventNanos = nowNanos;
    }
    events++;
    if (event.id().isPresent()) {
      lastEventId = event.id();
    }
    return sink.write(event.bytes());
  }
}
