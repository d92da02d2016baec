package org.guavagw.standins.engine;

/** Writes one answer to its connection. Confined to the event loop of the connection. */
interface AnswerWriter {
  /** Starts the answer. */
  default void open() {}

  /** Signals that the request is still being processed. */
  default void keepAlive() {}

  /** Adds a token; {@code index} counts from 0 at the start of the complete answer. */
  void token(int index, String text);

  /** Sends the tokens added so far. */
  default void flush() {}

  /** Ends the complete answer. */
  void finish(Usage usage);

  /** Ends the answer without an end marker, which truncates it unless it was finished. */
  void close();

  /** Reports that the request was not run. */
  void refuse(EngineRefusal refusal);
}
