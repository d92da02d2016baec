package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.util.List;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/** Filters in the order in which requests pass them. Immutable and thread-safe. */
public final class Pipeline {
  private final Next first;

  /** Joins filters; the last one must answer or refuse without passing the request on. */
  public Pipeline(List<Filter> filters) {
    Next next = Pipeline::refuseUnanswered;
    for (int i = filters.size() - 1; i >= 0; i--) {
      next = join(filters.get(i), next);
    }
    first = next;
  }

  /** Runs a request through all filters on the calling thread. */
  public Either<Refusal, Answered> run(Exchange exchange) {
    return first.proceed(exchange);
  }

  private static Next join(Filter filter, Next next) {
    return exchange -> filter.apply(exchange, next);
  }

  private static Either<Refusal, Answered> refuseUnanswered(Exchange exchange) {
    return Either.left(Refusal.notRun(RefusalCode.INTERNAL, "no filter answered the request"));
  }
}
