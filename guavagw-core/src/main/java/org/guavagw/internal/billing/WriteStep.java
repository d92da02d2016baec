package org.guavagw.internal.billing;

/** What became of one turn of the writer. */
enum WriteStep {
  /** Nothing waits. */
  IDLE,
  /** The pace does not allow a write now. */
  PACED,
  /** A write was decided on. */
  WROTE,
  /** The table service was not reached, or did not say. */
  FAILED
}
