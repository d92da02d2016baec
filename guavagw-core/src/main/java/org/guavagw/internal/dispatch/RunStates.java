package org.guavagw.internal.dispatch;

import org.guavagw.RunState;

/** Joins what is known of several attempts of one request. Stateless. */
final class RunStates {
  private RunStates() {}

  /** Whether the request ran, given what is known of two attempts. */
  static RunState join(RunState a, RunState b) {
    if (a == RunState.RAN || b == RunState.RAN) {
      return RunState.RAN;
    }
    if (a == RunState.UNKNOWN || b == RunState.UNKNOWN) {
      return RunState.UNKNOWN;
    }
    return RunState.NOT_RUN;
  }
}
