package org.guavagw.internal.load;

/** Why a backend server's state could not be read. */
public enum LoadFailure {
  /** No answer came. */
  UNREACHABLE,
  /** The answer was not what was asked for. */
  BAD_ANSWER
}
