package org.guavagw.gateway.internal.relay;

/** Receives the answer to one attempt and forwards it to the caller. Traffic thread only. */
interface AnswerForwarder extends AttemptListener {
  /** Releases the buffered data. */
  void release();
}
