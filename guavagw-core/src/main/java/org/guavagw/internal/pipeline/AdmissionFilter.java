package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.util.function.Supplier;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.limits.Admission;
import org.guavagw.internal.limits.AdmissionQueue;
import org.guavagw.internal.limits.AdmissionRefusal;
import org.guavagw.internal.limits.AdmissionRequest;
import org.guavagw.internal.limits.RequestClass;
import org.guavagw.internal.placement.AdmissionQueues;
import org.guavagw.internal.placement.BackendIndex;
import org.guavagw.internal.placement.PlacementTarget;

/** Admits requests to the backend servers of their version through a fair queue. Thread-safe. */
public final class AdmissionFilter implements Filter {
  private final AdmissionQueues queues;
  private final Supplier<BackendIndex> index;

  /** Creates the filter. */
  public AdmissionFilter(AdmissionQueues queues, Supplier<BackendIndex> index) {
    this.queues = queues;
    this.index = index;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    PlacementTarget target = new PlacementTarget.Version(exchange.requireVersion().ref());
    AdmissionQueue queue = queues.queue(index.get(), target);
    Either<AdmissionRefusal, Admission> admitted = queue.admit(requestOf(exchange));
    if (admitted.isLeft()) {
      return Either.left(admitted.getLeft().toRefusal());
    }
    try {
      return next.proceed(exchange).peekLeft(refusal -> reportOverload(target, refusal));
    } finally {
      queue.release(admitted.get());
    }
  }

  private static AdmissionRequest requestOf(Exchange exchange) {
    TeamConfig team = exchange.requireTeam();
    int weight = Math.max(1, team.limits().fairShareWeight());
    RequestClass requestClass = exchange.chat().request().requestClass();
    double cost = exchange.chat().request().relativeCost();
    return new AdmissionRequest(
        team.id(), weight, requestClass, exchange.metadata().deadlineNanos(), cost);
  }

  private void reportOverload(PlacementTarget target, Refusal refusal) {
    if (refusal.code() == RefusalCode.OVERLOADED) {
      queues.onRefused(target);
    }
  }
}
