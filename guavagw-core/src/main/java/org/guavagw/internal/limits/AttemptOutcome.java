package org.guavagw.internal.limits;

/**
 * Outcome of one attempt on a backend server. Immutable.
 *
 * @param firstByteNanos time from sending the request to the first byte of the answer; meaningless
 *     if no answer started
 */
public record AttemptOutcome(Kind kind, long firstByteNanos) {
  /** How the attempt ended. */
  public enum Kind {
    /** A complete answer arrived. */
    COMPLETED,
    /** The backend server refused the request because of overload. */
    REFUSED,
    /** The answer failed or was cut short. */
    FAILED,
    /** No connection could be made, or the backend server did not respond. */
    UNREACHABLE,
    /** The entry cancelled the attempt; says nothing about the backend server. */
    CANCELLED
  }

  /** Returns the outcome of a complete answer. */
  public static AttemptOutcome completed(long firstByteNanos) {
    return new AttemptOutcome(Kind.COMPLETED, firstByteNanos);
  }

  /** Returns an outcome without an answer. */
  public static AttemptOutcome of(Kind kind) {
    return new AttemptOutcome(kind, 0);
  }
}
