package org.guavagw.internal.engine;

import org.guavagw.RunState;

/** The failure of an attempt. Immutable. */
public record EngineFailure(Kind kind, String reason) {

  /** The kind of failure; it determines what can be said about whether the request ran. */
  public enum Kind {
    /** No connection was established, so nothing was sent. */
    NOT_SENT(RunState.NOT_RUN, true),
    /** The backend server refused the request and stated that it did not run it. */
    REFUSED(RunState.NOT_RUN, true),
    /** The backend server reported the request as invalid. */
    REJECTED(RunState.NOT_RUN, false),
    /** The connection broke, or the answer ended before its end marker. */
    BROKEN(RunState.UNKNOWN, true),
    /**
     * No data arrived within the time-out, whether or not the backend server still accepts
     * connections.
     */
    SILENT(RunState.UNKNOWN, true),
    /** The answer belongs to another request. */
    MISMATCHED(RunState.UNKNOWN, true),
    /** The deadline of the request passed. */
    TIMED_OUT(RunState.UNKNOWN, false),
    /** The caller disconnected and the attempt was cancelled. */
    CANCELLED(RunState.UNKNOWN, false);

    private final RunState runState;
    private final boolean worthRetrying;

    Kind(RunState runState, boolean worthRetrying) {
      this.runState = runState;
      this.worthRetrying = worthRetrying;
    }
  }

  /** Returns whether the backend server ran the request, as far as can be proved. */
  public RunState runState() {
    return kind.runState;
  }

  /** Returns whether another attempt may succeed, provided that the request may be repeated. */
  public boolean isWorthRetrying() {
    return kind.worthRetrying;
  }
}
