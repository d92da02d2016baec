package org.guavagw.cli.ctl;

/** Exit codes of {@code guavagwctl}. */
enum ExitCode {
  OK(0),
  /** The change was refused by the entry or invalid, or its target was not found. */
  REFUSED(1),
  USAGE(2),
  /** Another change was accepted first. */
  CONFLICT(3),
  /** No entry answered, or the entry could not reach the platform's store. */
  UNREACHABLE(4),
  /** The change may have been accepted. */
  OUTCOME_UNKNOWN(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
