package org.guavagw.gateway.internal.relay;

import org.guavagw.gateway.model.RouteKind;

/** Receives the answer to one attempt and forwards it to the caller. Traffic thread only. */
interface AnswerForwarder extends AttemptListener {
  /**
   * Creates the forwarder of the next attempt of an exchange on a route of this kind.
   *
   * @param sink learns how much of the answer is held
   */
  static AnswerForwarder of(Exchange exchange, AnswerSink sink, RouteKind kind) {
    return kind == RouteKind.STREAM
        ? new StreamedAnswerForwarder(exchange, sink)
        : new BufferedAnswerForwarder(exchange, sink);
  }

  /** Releases the buffered data. */
  void release();
}
