package org.guavagw.internal.once;

import java.util.Optional;
import org.guavagw.internal.rows.RowCodec;

/**
 * The row of an idempotency key in the table service. Immutable.
 *
 * @param outcome the answer, if it is known
 * @param bodyObject name of the object that contains the body, if the outcome does not contain it
 */
record IdempotencyRow(
    String requestId,
    String fingerprint,
    long claimedAtMs,
    Optional<StoredOutcome> outcome,
    Optional<String> bodyObject) {
  static final RowCodec<IdempotencyRow> CODEC = RowCodec.of(IdempotencyRow.class);

  static IdempotencyRow claim(String requestId, String fingerprint, long nowMs) {
    return new IdempotencyRow(requestId, fingerprint, nowMs, Optional.empty(), Optional.empty());
  }

  IdempotencyRow completed(StoredOutcome answer, Optional<String> object) {
    return new IdempotencyRow(requestId, fingerprint, claimedAtMs, Optional.of(answer), object);
  }
}
