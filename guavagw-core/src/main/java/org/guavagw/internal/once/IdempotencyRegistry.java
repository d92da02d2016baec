package org.guavagw.internal.once;

import io.vavr.control.Either;

/**
 * Ensures that a call with an idempotency key runs at most once over all entries. Thread-safe;
 * calls block.
 */
public interface IdempotencyRegistry {
  /**
   * Claims a call before its dispatch.
   *
   * @param requestFingerprint hash of the request, equal for repeats of the same call
   * @param requestId id of this request, unique for each request that arrives at an entry
   */
  Either<IdempotencyFailure, ClaimResult> claim(
      IdempotencyKey key, String requestFingerprint, String requestId);

  /** Stores the answer, which is replayed to repeats of the call. */
  Either<IdempotencyFailure, Void> complete(IdempotencyClaim claim, StoredOutcome outcome);

  /**
   * Deletes the claim, so that the key can be claimed again. Only for a call that certainly did not
   * run and will not run.
   */
  Either<IdempotencyFailure, Void> abandon(IdempotencyClaim claim);
}
