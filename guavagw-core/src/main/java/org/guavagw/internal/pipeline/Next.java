package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import org.guavagw.Refusal;

/** The rest of a pipeline, as a filter sees it. Thread-safe. */
public interface Next {
  /** Passes the request on. */
  Either<Refusal, Answered> proceed(Exchange exchange);
}
