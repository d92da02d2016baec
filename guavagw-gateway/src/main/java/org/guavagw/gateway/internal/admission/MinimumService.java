package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Keeps routes and teams from being starved by more urgent ones: each gets at least a fraction of
 * the average service rate while it has requests waiting. Traffic thread only.
 */
final class MinimumService {
  /** Time over which service is compared; callers of a starved route give up after seconds. */
  private static final Duration WINDOW = Duration.ofSeconds(10);

  private final double minRatio;
  private final KeyedRates<String> offeredByRoute = new KeyedRates<>(WINDOW);
  private final KeyedRates<String> startedByRoute = new KeyedRates<>(WINDOW);
  private final KeyedRates<String> offeredByTeam = new KeyedRates<>(WINDOW);
  private final KeyedRates<String> startedByTeam = new KeyedRates<>(WINDOW);

  MinimumService(double minRatio) {
    this.minRatio = minRatio;
  }

  void onOffered(RequestTraits traits, long nowNanos) {
    offeredByRoute.onEvent(traits.route(), nowNanos);
    offeredByTeam.onEvent(traits.team(), nowNanos);
  }

  void onStarted(RequestTraits traits, long nowNanos) {
    startedByRoute.onEvent(traits.route(), nowNanos);
    startedByTeam.onEvent(traits.team(), nowNanos);
  }

  /** Returns the request whose route or team lacks most, if any lacks a whole request. */
  Optional<QueuedRequest> mostStarved(List<QueuedRequest> requests, long nowNanos) {
    QueuedRequest starved = null;
    double most = 1;
    for (QueuedRequest request : requests) {
      double deficit = deficit(request.traits(), nowNanos);
      if (deficit >= most) {
        starved = request;
        most = deficit;
      }
    }
    return Optional.ofNullable(starved);
  }

  private double deficit(RequestTraits traits, long nowNanos) {
    double offered = offeredByRoute.totalCount(nowNanos);
    if (offered <= 0) {
      return 0;
    }
    double ratio = minRatio * Math.min(1, startedByRoute.totalCount(nowNanos) / offered);
    double ofRoute =
        ratio * offeredByRoute.count(traits.route(), nowNanos)
            - startedByRoute.count(traits.route(), nowNanos);
    double ofTeam =
        ratio * offeredByTeam.count(traits.team(), nowNanos)
            - startedByTeam.count(traits.team(), nowNanos);
    return Math.max(ofRoute, ofTeam);
  }

  void forgetIdle(long nowNanos) {
    offeredByRoute.forgetIdle(nowNanos);
    startedByRoute.forgetIdle(nowNanos);
    offeredByTeam.forgetIdle(nowNanos);
    startedByTeam.forgetIdle(nowNanos);
  }
}
