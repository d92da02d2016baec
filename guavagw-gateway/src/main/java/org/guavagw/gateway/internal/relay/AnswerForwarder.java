package org.guavagw.gateway.internal.relay;

import org.guavagw.gateway.model.RouteKind;

/** Receives the answer to one attempt and forwards it to the caller. Traffic thread only. */
interface AnswerForwarder extends AttemptListener {
  /** Creates the forwarder of the next attempt of an exchange on a route of this kind. */
  static AnswerForwarder of(Exchange exchange, RouteKind kind) {
    return kind == RouteKind.STREAM
        ? new StreamedAnswerForwarder(exchange)
        : new BufferedAnswerForwarder(exchange);
  }

  /** Releases the buffered data. */
  void release();
}
