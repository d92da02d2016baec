package org.guavagw.standins.engine;

/**
 * What goes wrong with one answer. Immutable.
 *
 * @param afterChunks chunks that are written properly before the fault shows
 */
public record AnswerFault(Kind kind, int afterChunks) {
  /** Ways in which an answer goes wrong. */
  public enum Kind {
    /** The connection is reset; the run fails. */
    RESET,
    /** The answer ends as if it were whole, but without the end marker; the run fails. */
    HALF_ANSWER,
    /** Nothing more is written and the connection stays open; the run goes on. */
    SILENCE,
    /** The answer carries the id and the text of another request. */
    CROSSED
  }
}
