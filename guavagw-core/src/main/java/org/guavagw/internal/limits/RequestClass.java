package org.guavagw.internal.limits;

/** How urgent a request is. */
public enum RequestClass {
  /** A caller waits for the answer. */
  INTERACTIVE,
  /** The answer may come late, but has to come. */
  LONG
}
