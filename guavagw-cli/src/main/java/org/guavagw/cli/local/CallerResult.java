package org.guavagw.cli.local;

import java.time.Duration;
import java.util.Optional;

/**
 * What a caller saw of one request. Immutable.
 *
 * @param requestId as the answer's header gave it; empty when no answer came
 * @param code stable code of a refusal; empty for an answer
 * @param runState what a refusal said about execution; empty for an answer
 * @param version model and version that the answer's headers named; empty if none
 */
public record CallerResult(
    Kind kind, String requestId, String code, String runState, String version, Duration took) {

  /** How a request ended for its caller. */
  public enum Kind {
    /** A whole answer to the caller's own request. */
    ANSWERED,
    /** No answer was begun, and the caller was told so. */
    REFUSED,
    /** An answer began and did not end, or no word came at all. */
    CUT,
    /** An answer came that does not belong to the request or lacks a part. */
    WRONG
  }

  /** Whether a refusal said that nothing ran. */
  public boolean saysNotRun() {
    return kind == Kind.REFUSED && Optional.of(runState).filter("not_run"::equals).isPresent();
  }
}
