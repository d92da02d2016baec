package org.guavagw.internal.billing;

import io.vavr.control.Either;

/**
 * Writes segments to their journals. Repeated writes of a segment have no further effect.
 * Implementations are thread-safe and may block.
 */
@FunctionalInterface
public interface SegmentWriter {
  /** Writes a segment unless its journal already contains it. */
  Either<BillFailure, Void> write(PreparedSegment segment);

  /** Returns a writer that uses a fallback when this writer cannot reach the table service. */
  default SegmentWriter withFallback(SegmentWriter fallback) {
    return segment ->
        write(segment)
            .fold(
                failure ->
                    failure instanceof BillFailure.StoreUnavailable
                        ? fallback.write(segment)
                        : Either.left(failure),
                Either::right);
  }
}
