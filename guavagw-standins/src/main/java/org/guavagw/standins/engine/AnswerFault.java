package org.guavagw.standins.engine;

/**
 * A fault to inject into one answer. Immutable.
 *
 * @param afterChunks number of chunks written before the fault takes effect
 */
public record AnswerFault(Kind kind, int afterChunks) {
  /** Kinds of faults. */
  public enum Kind {
    /** The connection is reset and the execution fails. */
    RESET,
    /** The answer ends normally but too early, without the end marker; the execution fails. */
    HALF_ANSWER,
    /** Nothing more is written and the connection stays open; the execution continues. */
    SILENCE,
    /** The answer carries the id and the text of another request. */
    CROSSED
  }
}
