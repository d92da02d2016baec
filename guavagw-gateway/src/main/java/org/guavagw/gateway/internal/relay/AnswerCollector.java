package org.guavagw.gateway.internal.relay;

/** Takes the answer of one attempt and passes it on once it may be. Traffic thread only. */
interface AnswerCollector extends AttemptListener {
  /** Frees what is held. */
  void release();
}
