package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.util.List;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/** A sequence of filters that each request passes in order. Immutable and thread-safe. */
public final class Pipeline {
  private final FilterChain first;

  /** Creates a pipeline; its last filter must answer or refuse without passing the request on. */
  public Pipeline(List<Filter> filters) {
    FilterChain next = Pipeline::refuseUnanswered;
    for (int i = filters.size() - 1; i >= 0; i--) {
      next = link(filters.get(i), next);
    }
    first = next;
  }

  /** Runs a request through all filters on the calling thread. */
  public Either<Refusal, CompletedAnswer> run(Exchange exchange) {
    return first.proceed(exchange);
  }

  private static FilterChain link(Filter filter, FilterChain next) {
    return exchange -> filter.apply(exchange, next);
  }

  private static Either<Refusal, CompletedAnswer> refuseUnanswered(Exchange exchange) {
    return Either.left(Refusal.notRun(RefusalCode.INTERNAL, "no filter answered the request"));
  }
}
