package org.guavagw.internal.billing;

/** What the amount of a bill rests on. */
public enum BillBasis {
  /** The tokens that were used. */
  ACTUAL,
  /** The charge for requests whose entry died before it could tell their outcome. */
  UNKNOWN_OUTCOME,
  /** Nothing: the request did not run. */
  NOT_RUN
}
