package org.guavagw.internal.limits;

/** Urgency class of a request. */
public enum RequestClass {
  /** The caller waits for the answer. */
  INTERACTIVE,
  /** The answer may take long, but must arrive. */
  LONG
}
