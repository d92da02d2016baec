package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/** Rates at which requests for a service arrive at this entry. Traffic thread only. */
final class Demand {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration WINDOW = Duration.ofSeconds(2);

  private final KeyedRates<Integer> byRank = new KeyedRates<>(WINDOW);
  private final KeyedRates<RankAndTeam> byTeam = new KeyedRates<>(WINDOW);

  /** Run times of the requests that arrive in a second: how many would run at a time. */
  private final KeyedRates<RankAndTeam> runSeconds = new KeyedRates<>(WINDOW);

  void onArrival(RequestTraits traits, long runNanos, long nowNanos) {
    runSeconds.onEvent(RankAndTeam.of(traits), runNanos / NANOS_PER_SECOND, nowNanos);
    byRank.onEvent(traits.rank(), nowNanos);
    byTeam.onEvent(RankAndTeam.of(traits), nowNanos);
  }

  double perSecond(long nowNanos) {
    return byRank.totalPerSecond(nowNanos);
  }

  double ofRank(int rank, long nowNanos) {
    return byRank.perSecond(rank, nowNanos);
  }

  /** Returns the rate of all ranks that are more urgent. */
  double aboveRank(int rank, long nowNanos) {
    return byRank.keys().stream()
        .filter(r -> r < rank)
        .mapToDouble(r -> byRank.perSecond(r, nowNanos))
        .sum();
  }

  double ofTeam(RequestTraits traits, long nowNanos) {
    return byTeam.perSecond(RankAndTeam.of(traits), nowNanos);
  }

  /** Returns the rates of the other teams in the rank of a request. */
  double[] ofOtherTeams(RequestTraits traits, long nowNanos) {
    RankAndTeam own = RankAndTeam.of(traits);
    return byTeam.keys().stream()
        .filter(k -> k.rank() == own.rank() && !k.equals(own))
        .mapToDouble(k -> byTeam.perSecond(k, nowNanos))
        .toArray();
  }

  /** Returns how many requests would run at a time if none had to wait, by rank and team. */
  Map<String, Double> offered(long nowNanos) {
    Map<String, Double> offered = new HashMap<>();
    for (RankAndTeam key : runSeconds.keys()) {
      offered.put(ServiceDemand.key(key.rank(), key.team()), runSeconds.perSecond(key, nowNanos));
    }
    return offered;
  }

  /** Returns the mean run time of the requests that arrive, in seconds; 0 if not known. */
  double meanRunSeconds(long nowNanos) {
    double arrivals = byRank.totalPerSecond(nowNanos);
    return arrivals > 0 ? runSeconds.totalPerSecond(nowNanos) / arrivals : 0;
  }

  void forgetIdle(long nowNanos) {
    runSeconds.forgetIdle(nowNanos);
    byRank.forgetIdle(nowNanos);
    byTeam.forgetIdle(nowNanos);
  }

  /** A team within a rank. Immutable. */
  private record RankAndTeam(int rank, String team) {
    static RankAndTeam of(RequestTraits traits) {
      return new RankAndTeam(traits.rank(), traits.team());
    }
  }
}
