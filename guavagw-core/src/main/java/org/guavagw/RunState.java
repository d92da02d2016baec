package org.guavagw;

import com.fasterxml.jackson.annotation.JsonValue;

/** Whether a refused or failed request was executed by a backend server. */
public enum RunState {
  /** Nothing that could run the request left the entry, or the backend server proved that. */
  NOT_RUN("not_run"),
  /** A backend server ran the request. */
  RAN("ran"),
  /** The entry cannot tell. */
  UNKNOWN("unknown");

  private final String wireName;

  RunState(String wireName) {
    this.wireName = wireName;
  }

  /** What is known of a request after two attempts. */
  public RunState join(RunState other) {
    if (this == RAN || other == RAN) {
      return RAN;
    }
    return this == UNKNOWN || other == UNKNOWN ? UNKNOWN : NOT_RUN;
  }

  /** The stable form that callers see. */
  @JsonValue
  public String wireName() {
    return wireName;
  }
}
