package org.guavagw.internal.billing;

/** Result of one iteration of the writer thread. */
enum WriteResult {
  /** There is nothing to write. */
  IDLE,
  /** The rate limit does not allow a write now. */
  RATE_LIMITED,
  /** The table service answered: the write took effect, conflicted, or found its journal closed. */
  WRITTEN,
  /** The table service was unreachable or the outcome is unknown. */
  FAILED
}
