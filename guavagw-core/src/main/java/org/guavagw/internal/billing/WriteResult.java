package org.guavagw.internal.billing;

/** Result of one iteration of the writer thread. */
enum WriteResult {
  /** There is nothing to write. */
  IDLE,
  /** The rate limit does not allow a write now. */
  RATE_LIMITED,
  /** A write took effect, or one that did not can be repeated at once. */
  WRITTEN,
  /** Nothing was written or the outcome is unknown; the next write must be delayed. */
  FAILED
}
