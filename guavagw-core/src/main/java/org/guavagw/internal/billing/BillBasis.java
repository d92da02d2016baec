package org.guavagw.internal.billing;

/** How the amount of a bill was determined. */
public enum BillBasis {
  /** From the tokens that were used. */
  ACTUAL,
  /** By the charge for requests whose entry died before it could report their outcome. */
  UNKNOWN_OUTCOME,
  /** Zero, because the request did not run. */
  NOT_RUN
}
