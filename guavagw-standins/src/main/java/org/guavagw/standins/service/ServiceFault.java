package org.guavagw.standins.service;

/** What goes wrong with one call of a plain service. */
public enum ServiceFault {
  /** Refused without execution, with proof. */
  REFUSE,
  /** The connection is reset before execution. */
  RESET_BEFORE_RUN,
  /** Executed; then the connection is reset before any answer. */
  RESET_AFTER_RUN,
  /** Executed; then the connection stays open and nothing is written on it any more. */
  SILENCE_AFTER_RUN,
  /** Executed; then answered with status 500. */
  FAIL_AFTER_RUN
}
