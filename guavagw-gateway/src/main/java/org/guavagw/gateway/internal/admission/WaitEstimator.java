package org.guavagw.gateway.internal.admission;

import java.util.OptionalDouble;

/**
 * Estimates how long a request waits: for the requests of more urgent ranks that wait, and for
 * those of its team that are before it, at the team's max-min share of the drain rate; the first
 * request of a team waits for the next place. Traffic thread only.
 */
final class WaitEstimator {
  private static final double NANOS_PER_SECOND = 1e9;

  private final RankedQueue queue;
  private final Demand demand;
  private final DrainRate drain;
  private final double minRatio;

  WaitEstimator(RankedQueue queue, Demand demand, DrainRate drain, double minRatio) {
    this.queue = queue;
    this.demand = demand;
    this.drain = drain;
    this.minRatio = minRatio;
  }

  /** Returns the expected wait in nanoseconds, or nothing if the drain rate is not known. */
  OptionalDouble waitNanos(QueuedRequest request, long nowNanos) {
    OptionalDouble drainPerSecond = drain.perSecond(nowNanos);
    if (drainPerSecond.isEmpty()) {
      return OptionalDouble.empty();
    }
    double rate = teamRate(request.traits(), drainPerSecond.getAsDouble(), nowNanos);
    double seconds =
        (queue.countMoreUrgent(request.traits().rank()) + 1) / drainPerSecond.getAsDouble()
            + queue.countAheadInTeam(request) / rate;
    return OptionalDouble.of(seconds * NANOS_PER_SECOND);
  }

  /** Returns the rate at which requests of a team in a rank can start; 0 if not known. */
  double teamRate(RequestTraits traits, long nowNanos) {
    OptionalDouble drainPerSecond = drain.perSecond(nowNanos);
    return drainPerSecond.isEmpty() ? 0 : teamRate(traits, drainPerSecond.getAsDouble(), nowNanos);
  }

  private double teamRate(RequestTraits traits, double drainPerSecond, long nowNanos) {
    double offered = demand.perSecond(nowNanos);
    double minimum = offered > 0 ? minRatio * Math.min(1, drainPerSecond / offered) : minRatio;
    double ofRank =
        Math.max(
            drainPerSecond - demand.aboveRank(traits.rank(), nowNanos),
            minimum * demand.ofRank(traits.rank(), nowNanos));
    double share = MaxMinShares.ofUnbounded(demand.ofOtherTeams(traits, nowNanos), ofRank);
    return Math.max(share, minimum * demand.ofTeam(traits, nowNanos));
  }
}
