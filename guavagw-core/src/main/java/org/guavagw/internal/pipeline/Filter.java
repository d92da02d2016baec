package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import org.guavagw.Refusal;

/**
 * One step of a pipeline, which makes one decision about a request. Implementations are
 * thread-safe.
 */
public interface Filter {
  /**
   * Refuses the request, or passes it on to the rest of the pipeline and may process the result.
   */
  Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next);
}
