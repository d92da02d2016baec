package org.guavagw.standins.engine;

/** Writes one answer to its connection. Confined to the event loop of the connection. */
interface AnswerWriter {
  /** Starts the answer. */
  default void open() {}

  /** Shows that the request is still being worked on. */
  default void keepAlive() {}

  /** Adds a token; {@code index} counts from 0 at the start of the whole answer. */
  void token(int index, String text);

  /** Sends what was added. */
  default void flush() {}

  /** Ends the whole answer. */
  void finish(Usage usage);

  /** Ends the answer before it is whole, without an end marker. */
  void cut();

  /** Says that the request was not run. */
  void refuse(EngineRefusal refusal);
}
