package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import org.guavagw.Refusal;

/** One decision about a request. Implementations are thread-safe. */
public interface Filter {
  /** Refuses the request, or passes it on and may act on what comes back. */
  Either<Refusal, Answered> apply(Exchange exchange, Next next);
}
