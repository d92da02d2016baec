package org.guavagw.internal.once;

/** Why nothing could be claimed or kept. Immutable. */
public sealed interface OnceFailure {
  /** The table service or object store could not be asked; nothing may be dispatched. */
  record StoreUnavailable(String reason) implements OnceFailure {}

  /**
   * The claim may have reached the table, but nobody can tell; nothing may be dispatched, and the
   * row has to be taken away.
   */
  record ClaimUnclear(String reason) implements OnceFailure {}

  /** The row is no longer the claim's. */
  record ClaimGone() implements OnceFailure {}

  /** The answer is larger than what is kept. */
  record OutcomeTooLarge(long bytes, long maxBytes) implements OnceFailure {}
}
