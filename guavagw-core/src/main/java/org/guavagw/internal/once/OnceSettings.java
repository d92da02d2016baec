package org.guavagw.internal.once;

import java.time.Duration;

/**
 * Bounds of the registry. Immutable.
 *
 * @param maxClaimAge age beyond which a claim counts as abandoned by a dead claimer
 * @param maxRowBodyBytes larger bodies go to the object store
 * @param maxBodyBytes larger bodies are not kept
 * @param claimsPerTransaction claims in one group commit at most
 */
public record OnceSettings(
    Duration maxClaimAge, int maxRowBodyBytes, int maxBodyBytes, int claimsPerTransaction) {
  private static final Duration DEFAULT_MAX_CLAIM_AGE = Duration.ofMinutes(10);
  private static final int DEFAULT_MAX_ROW_BODY_BYTES = 16 * 1024;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int DEFAULT_CLAIMS_PER_TRANSACTION = 100;

  /** The bounds that entries use. */
  public static OnceSettings standard() {
    return new OnceSettings(
        DEFAULT_MAX_CLAIM_AGE,
        DEFAULT_MAX_ROW_BODY_BYTES,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_CLAIMS_PER_TRANSACTION);
  }
}
