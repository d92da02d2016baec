package org.guavagw.internal.once;

/** Why a claim or its outcome could not be recorded. Immutable. */
public sealed interface IdempotencyFailure {
  /** The table service or the object store is unavailable. The call must not be dispatched. */
  record StoreUnavailable(String reason) implements IdempotencyFailure {}

  /**
   * Whether the claim was written is unknown. The call must not be dispatched, and the row must be
   * deleted if it exists.
   */
  record ClaimUnclear(String reason) implements IdempotencyFailure {}

  /** The row no longer belongs to the claim. */
  record ClaimGone() implements IdempotencyFailure {}

  /** The answer is too large to be stored. */
  record OutcomeTooLarge(long bytes, long maxBytes) implements IdempotencyFailure {}
}
