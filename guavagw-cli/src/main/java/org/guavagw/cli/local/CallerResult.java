package org.guavagw.cli.local;

import java.time.Duration;
import java.util.Optional;

/**
 * Result of one request as seen by its caller. Immutable.
 *
 * @param requestId id from the response header; empty without a response
 * @param code error code of a refusal; empty for an answer
 * @param runState execution state that a refusal reports; empty for an answer
 * @param version model and version from the response headers; empty if absent
 * @param text received text of the answer
 */
public record CallerResult(
    Kind kind,
    String requestId,
    String code,
    String runState,
    String version,
    String text,
    Duration took) {

  /** How a request ended for its caller. */
  public enum Kind {
    /** A complete answer to the caller's own request was received. */
    ANSWERED,
    /** The request was refused before an answer started. */
    REFUSED,
    /** The answer was truncated, or no response was received. */
    CUT,
    /** The answer is incomplete or belongs to another request. */
    WRONG
  }

  /** Returns whether a refusal reported that the request was not executed. */
  public boolean reportsNotRun() {
    return kind == Kind.REFUSED && Optional.of(runState).filter("not_run"::equals).isPresent();
  }
}
