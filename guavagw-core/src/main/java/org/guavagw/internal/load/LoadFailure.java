package org.guavagw.internal.load;

/** Why the state of a backend server could not be read. */
public enum LoadFailure {
  /** No answer arrived. */
  UNREACHABLE,
  /** The answer has an error status or cannot be parsed. */
  BAD_ANSWER
}
