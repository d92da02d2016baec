package org.guavagw.gateway.internal.relay;

/** Is told of the progress of an exchange. Traffic thread only. */
interface ExchangeListener {
  /** Called when the answer of an attempt begins. */
  void onAnswering();

  /** Called once, when the exchange has ended. */
  void onDone();
}
