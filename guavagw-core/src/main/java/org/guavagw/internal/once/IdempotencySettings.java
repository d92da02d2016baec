package org.guavagw.internal.once;

import java.time.Duration;

/**
 * Limits of the registry. Immutable.
 *
 * @param maxClaimAge age after which the outcome of an incomplete claim counts as unknown
 * @param maxRowBodyBytes maximum size of a body stored in the row; larger ones go to the object
 *     store
 * @param maxBodyBytes maximum size of a stored body; answers with larger ones are not stored
 * @param claimsPerTransaction maximum number of claims in one group commit
 */
public record IdempotencySettings(
    Duration maxClaimAge, int maxRowBodyBytes, int maxBodyBytes, int claimsPerTransaction) {
  private static final Duration DEFAULT_MAX_CLAIM_AGE = Duration.ofMinutes(10);
  private static final int DEFAULT_MAX_ROW_BODY_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int DEFAULT_CLAIMS_PER_TRANSACTION = 100;

  /** Returns the settings that entries use. */
  public static IdempotencySettings standard() {
    return new IdempotencySettings(
        DEFAULT_MAX_CLAIM_AGE,
        DEFAULT_MAX_ROW_BODY_BYTES,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_CLAIMS_PER_TRANSACTION);
  }
}
