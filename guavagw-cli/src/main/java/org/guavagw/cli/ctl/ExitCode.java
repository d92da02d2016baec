package org.guavagw.cli.ctl;

/** How a command of the operators' client ended. */
enum ExitCode {
  OK(0),
  /** Refused by the entry, invalid, or not found. */
  REFUSED(1),
  USAGE(2),
  /** Another change came first. */
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
