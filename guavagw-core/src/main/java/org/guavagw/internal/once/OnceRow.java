package org.guavagw.internal.once;

import java.util.Optional;
import org.guavagw.internal.rows.RowCodec;

/**
 * What the table service keeps about one key. Immutable.
 *
 * @param outcome the answer, once it is known
 * @param bodyObject name of the object with the body, if the body is not in the outcome
 */
record OnceRow(
    String requestId,
    String fingerprint,
    long claimedAtMs,
    Optional<StoredOutcome> outcome,
    Optional<String> bodyObject) {
  static final RowCodec<OnceRow> CODEC = RowCodec.of(OnceRow.class);

  static OnceRow claim(String requestId, String fingerprint, long nowMs) {
    return new OnceRow(requestId, fingerprint, nowMs, Optional.empty(), Optional.empty());
  }

  OnceRow completed(StoredOutcome answer, Optional<String> object) {
    return new OnceRow(requestId, fingerprint, claimedAtMs, Optional.of(answer), object);
  }
}
