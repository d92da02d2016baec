package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.limits.Admission;
import org.guavagw.internal.limits.AdmissionRefusal;
import org.guavagw.internal.limits.AdmissionRequest;
import org.guavagw.internal.limits.RequestClass;

/** Queues requests in front of the backend servers of their version, fairly. Thread-safe. */
public final class AdmissionFilter implements Filter {
  private final AdmissionPools pools;

  /** Creates the filter. */
  public AdmissionFilter(AdmissionPools pools) {
    this.pools = pools;
  }

  @Override
  public Either<Refusal, Answered> apply(Exchange exchange, Next next) {
    AdmissionPools.Pool pool = pools.poolOf(exchange.requireVersion().ref());
    Either<AdmissionRefusal, Admission> admitted = pool.queue().admit(requestOf(exchange));
    if (admitted.isLeft()) {
      return Either.left(admitted.getLeft().toRefusal());
    }
    try {
      return next.proceed(exchange).peekLeft(refusal -> noteRefusal(pool, refusal));
    } finally {
      pool.queue().release(admitted.get());
    }
  }

  private static AdmissionRequest requestOf(Exchange exchange) {
    TeamConfig team = exchange.requireTeam();
    int weight = Math.max(1, team.limits().fairShareWeight());
    RequestClass requestClass = exchange.chat().request().requestClass();
    double cost = exchange.chat().request().relativeCost();
    return new AdmissionRequest(
        team.id(), weight, requestClass, exchange.terms().deadlineNanos(), cost);
  }

  private static void noteRefusal(AdmissionPools.Pool pool, Refusal refusal) {
    if (refusal.code() == RefusalCode.OVERLOADED) {
      pool.capacity().onRefused();
    }
  }
}
