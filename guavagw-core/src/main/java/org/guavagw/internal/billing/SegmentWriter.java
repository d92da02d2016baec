package org.guavagw.internal.billing;

import io.vavr.control.Either;

/**
 * Makes segments durable, each once however often it is written. Implementations are thread-safe
 * and may block.
 */
@FunctionalInterface
public interface SegmentWriter {
  /** Writes a segment unless its journal holds it. */
  Either<BillFailure, Void> write(PreparedSegment segment);

  /** A writer that tries another one while this one does not reach the table service. */
  default SegmentWriter orElse(SegmentWriter other) {
    return segment ->
        write(segment)
            .fold(
                failure ->
                    failure instanceof BillFailure.StoreUnavailable
                        ? other.write(segment)
                        : Either.left(failure),
                Either::right);
  }
}
