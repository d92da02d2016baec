package org.guavagw;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether a refused or failed request was executed by a backend server. */
public enum RunState {
  /** No backend server ran the request: it was not sent, or its backend server proved that. */
  NOT_RUN("not_run"),
  /** A backend server ran the request. */
  RAN("ran"),
  /** The entry cannot tell. */
  UNKNOWN("unknown");

  private final String wireName;

  RunState(String wireName) {
    this.wireName = wireName;
  }

  /** Returns the run state of a request after two attempts with these run states. */
  public RunState join(RunState other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NOT_RUN;
  }

  /** Returns the stable name that callers see. */
  @JsonValue
  public String wireName() {
    return wireName;
  }
}
