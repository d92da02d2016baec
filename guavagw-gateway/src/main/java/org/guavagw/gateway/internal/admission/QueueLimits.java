package org.guavagw.gateway.internal.admission;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Decides whether a request may wait, and whether one that waits is still to be served.
 *
 * <p>A request may wait while it is expected to start early enough for its objective; one that is
 * late in any case may wait for a part of its objective. A request that has been held for longer
 * than that is refused only if too little time is left to run it. Traffic thread only.
 */
final class QueueLimits {
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Factor on an estimated wait, as arrivals and run times vary. */
  private static final double NEW_REQUEST_MARGIN = 1.25;

  /** Larger than 1 / margin of new requests, so that small changes do not revoke a decision. */
  private static final double WAITING_REQUEST_MARGIN = 0.75;

  /**
   * Part of its objective that a request may wait although it is late in any case; without a queue,
   * there would be no order among late requests.
   */
  private static final int LATE_WAIT_DIVISOR = 2;

  /** Largest part of a caller's whole time that is set aside for the run. */
  private static final double MAX_RUN_SHARE = 0.5;

  private final QueueSettings settings;
  private final RankedQueue queue;
  private final WaitEstimator estimator;
  private final DrainRate drain;
  private final RunTimes runTimes;

  QueueLimits(
      QueueSettings settings,
      RankedQueue queue,
      WaitEstimator estimator,
      DrainRate drain,
      RunTimes runTimes) {
    this.settings = settings;
    this.queue = queue;
    this.estimator = estimator;
    this.drain = drain;
    this.runTimes = runTimes;
  }

  /** Returns why a new request that is not in the queue must not wait, if so. */
  Optional<RefusalReason> refusalOfNew(QueuedRequest request, long nowNanos) {
    if (settings.maxRequests() == 0) {
      return Optional.of(RefusalReason.NO_ROOM);
    }
    if (timeToRunNanos(request, nowNanos) <= 0) {
      return Optional.of(RefusalReason.TOO_LATE);
    }
    OptionalDouble wait = estimator.waitNanos(request, nowNanos);
    boolean tooLong =
        wait.isPresent()
            && wait.getAsDouble() * NEW_REQUEST_MARGIN > allowedWaitNanos(request, nowNanos);
    return tooLong ? Optional.of(RefusalReason.WAIT_TOO_LONG) : Optional.empty();
  }

  /** Returns why a request in the queue is to be refused now, if so. */
  Optional<RefusalReason> refusalOfWaiting(QueuedRequest request, long nowNanos) {
    if (timeToRunNanos(request, nowNanos) <= 0) {
      return Optional.of(RefusalReason.TOO_LATE);
    }
    OptionalDouble wait = estimator.waitNanos(request, nowNanos);
    long untilHoldLimit = request.holdLimitNanos() - nowNanos;
    if (wait.isEmpty()) {
      return request.isProvisional() && untilHoldLimit <= 0
          ? Optional.of(RefusalReason.NO_ROOM)
          : Optional.empty();
    }
    request.setProvisional(false);
    boolean mayRefuse = untilHoldLimit >= 0;
    boolean tooLong =
        wait.getAsDouble() * WAITING_REQUEST_MARGIN > allowedWaitNanos(request, nowNanos);
    return mayRefuse && tooLong ? Optional.of(RefusalReason.WAIT_TOO_LONG) : Optional.empty();
  }

  /** Returns whether the queue is full for one more request of a size. */
  boolean isFull(QueuedRequest request) {
    return queue.size() >= settings.maxRequests()
        || queue.bytes() + request.traits().bytes() > settings.maxBytes();
  }

  /** Returns whether nothing is known about the wait of a request. */
  boolean isWaitUnknown(QueuedRequest request, long nowNanos) {
    return estimator.waitNanos(request, nowNanos).isEmpty();
  }

  /** Returns by how much the expected wait of a request exceeds what it can wait; 0 if unknown. */
  double excessWaitNanos(QueuedRequest request, long nowNanos) {
    double wait = estimator.waitNanos(request, nowNanos).orElse(0);
    return Math.max(0, wait * NEW_REQUEST_MARGIN - allowedWaitNanos(request, nowNanos));
  }

  QueueState state(QueuedRequest request, long nowNanos) {
    RequestTraits traits = request.traits();
    OptionalDouble wait = estimator.waitNanos(request, nowNanos);
    return new QueueState(
        queue.size(),
        drain.running(),
        drain.perSecond(nowNanos).orElse(0),
        estimator.teamRate(traits, nowNanos),
        wait.isPresent() ? (long) (wait.getAsDouble() / NANOS_PER_MILLI) : -1,
        (long) (allowedWaitNanos(request, nowNanos) / NANOS_PER_MILLI),
        (nowNanos - traits.arrivedNanos()) / NANOS_PER_MILLI,
        (traits.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
  }

  private double allowedWaitNanos(QueuedRequest request, long nowNanos) {
    RequestTraits traits = request.traits();
    long untilObjective =
        traits.objectiveNanos() - nowNanos - runTimes.firstAnswerNanos(traits.route());
    long whenLate = (traits.objectiveNanos() - traits.arrivedNanos()) / LATE_WAIT_DIVISOR;
    return Math.min(timeToRunNanos(request, nowNanos), (double) Math.max(untilObjective, whenLate));
  }

  /** Returns the time until the request must start so that it can end by its deadline. */
  private double timeToRunNanos(QueuedRequest request, long nowNanos) {
    RequestTraits traits = request.traits();
    double allowed = traits.deadlineNanos() - traits.arrivedNanos();
    double run = Math.min((double) runTimes.runNanos(traits.route()), MAX_RUN_SHARE * allowed);
    return traits.deadlineNanos() - nowNanos - run;
  }
}
