package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import org.guavagw.Refusal;

/** The remaining filters of a pipeline. Thread-safe. */
public interface FilterChain {
  /** Passes the request on to the remaining filters. */
  Either<Refusal, CompletedAnswer> proceed(Exchange exchange);
}
