package org.guavagw.internal.engine;

import org.guavagw.RunState;

/** How an exchange with a backend server failed. Immutable. */
public record EngineFailure(Kind kind, String reason) {

  /** What went wrong, which decides what the caller may be told. */
  public enum Kind {
    /** No connection came about, so nothing was sent. */
    NOT_SENT(RunState.NOT_RUN, true),
    /** The backend server refused and proved that it did not run the request. */
    REFUSED(RunState.NOT_RUN, true),
    /** The backend server found fault with the request itself. */
    REJECTED(RunState.NOT_RUN, false),
    /** The connection broke, or the answer ended before its end mark. */
    BROKEN(RunState.UNKNOWN, true),
    /** No byte came for too long, while the backend server answers new connections or none. */
    SILENT(RunState.UNKNOWN, true),
    /** The answer belongs to another request. */
    MISMATCHED(RunState.UNKNOWN, true),
    /** The deadline of the request passed. */
    TIMED_OUT(RunState.UNKNOWN, false),
    /** The caller left and the exchange was cancelled. */
    CANCELLED(RunState.UNKNOWN, false);

    private final RunState runState;
    private final boolean worthRetrying;

    Kind(RunState runState, boolean worthRetrying) {
      this.runState = runState;
      this.worthRetrying = worthRetrying;
    }
  }

  /** Whether the backend server ran the request, as far as this side can prove. */
  public RunState runState() {
    return kind.runState;
  }

  /** Whether another attempt may succeed, if the request may be repeated at all. */
  public boolean isWorthRetrying() {
    return kind.worthRetrying;
  }
}
