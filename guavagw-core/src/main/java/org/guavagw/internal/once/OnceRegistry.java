package org.guavagw.internal.once;

import io.vavr.control.Either;

/** Lets a call with a key run at most once over all entries. Thread-safe; calls block. */
public interface OnceRegistry {
  /**
   * Claims a call before its dispatch.
   *
   * @param requestFingerprint differs between calls that are not repeats of one another
   * @param requestId id of this request; a new one for each arrival at an entry
   */
  Either<OnceFailure, ClaimResult> claim(OnceKey key, String requestFingerprint, String requestId);

  /** Keeps the answer for repeats. */
  Either<OnceFailure, Void> complete(OnceClaim claim, StoredOutcome outcome);

  /** Frees the key. Only for a call that provably did not run and will not. */
  Either<OnceFailure, Void> abandon(OnceClaim claim);
}
