package org.guavagw.standins.service;

/** A fault to inject into one call of a plain service. */
public enum ServiceFault {
  /** The call is refused and reported as not run. */
  REFUSE,
  /** The connection is reset before the execution. */
  RESET_BEFORE_RUN,
  /** The call is executed; the connection is reset before the answer. */
  RESET_AFTER_RUN,
  /** The call is executed; the connection stays open and nothing more is written. */
  SILENCE_AFTER_RUN,
  /** The call is executed and answered with status 500. */
  FAIL_AFTER_RUN
}
