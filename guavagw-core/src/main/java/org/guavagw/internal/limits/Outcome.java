package org.guavagw.internal.limits;

/**
 * How one dispatch to a backend server ended. Immutable.
 *
 * @param firstByteNanos time from dispatch to the first byte of the answer; meaningless where no
 *     answer began
 */
public record Outcome(Kind kind, long firstByteNanos) {
  /** What ended the dispatch. */
  public enum Kind {
    /** A whole answer came. */
    COMPLETED,
    /** The backend server refused because it had too much work. */
    REFUSED,
    /** The answer failed or was cut short. */
    FAILED,
    /** No connection was made or it stayed silent. */
    UNREACHABLE,
    /** The entry cancelled the dispatch; says nothing about the backend server. */
    CANCELLED
  }

  /** An answer that came whole. */
  public static Outcome completed(long firstByteNanos) {
    return new Outcome(Kind.COMPLETED, firstByteNanos);
  }

  /** An end without an answer. */
  public static Outcome of(Kind kind) {
    return new Outcome(kind, 0);
  }
}
