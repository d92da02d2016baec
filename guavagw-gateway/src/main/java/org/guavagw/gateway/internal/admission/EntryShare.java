package org.guavagw.gateway.internal.admission;

import java.util.Map;
import java.util.TreeMap;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/**
 * Computes how many requests for a service this entry should run at a time while requests wait at
 * several entries: urgent ranks first, within a rank max-min shares of the teams over all entries,
 * and of each team's share the part that arrives here. All entries compute the same from the same
 * reports. Stateless.
 */
final class EntryShare {
  /** By how much the limits together exceed what runs, so that servers do not stay idle. */
  private static final double HEADROOM = 0.1;

  private EntryShare() {}

  /**
   * Returns the limit for this entry, or infinity if no other entry lacks room.
   *
   * @param own demand at this entry
   * @param others demand at all other entries
   * @param minRatio fraction of the average service that the ranks get in any case
   */
  static double runningLimit(ServiceDemand own, ServiceDemand others, double minRatio) {
    ServiceDemand all = own.plus(others);
    double offered = sum(all.offered());
    if (others.waiting() <= 0 || offered <= all.running()) {
      return Double.POSITIVE_INFINITY;
    }
    TreeMap<Integer, Map<String, Double>> byRank = new TreeMap<>();
    all.offered()
        .forEach(
            (key, demand) ->
                byRank
                    .computeIfAbsent(ServiceDemand.rankOf(key), r -> new TreeMap<>())
                    .put(key, demand));
    double left = all.running();
    double minimumPart = minRatio * all.running() / offered;
    double offeredBelow = offered;
    double limit = 0;
    for (Map<String, Double> demands : byRank.values()) {
      double ofRank = sum(demands);
      offeredBelow -= ofRank;
      double room = Math.max(left - minimumPart * offeredBelow, minimumPart * ofRank);
      double share = Math.min(ofRank, room);
      left -= share;
      limit += ownPart(own, demands, share, minimumPart);
    }
    return limit * (1 + HEADROOM);
  }

  /** Returns this entry's part of the room that a rank gets. */
  private static double ownPart(
      ServiceDemand own, Map<String, Double> demands, double room, double minimumPart) {
    double level =
        MaxMinShares.level(
            demands.values().stream().mapToDouble(Double::doubleValue).toArray(), room);
    double part = 0;
    for (Map.Entry<String, Double> team : demands.entrySet()) {
      double demand = team.getValue();
      double share = Math.max(Math.min(demand, level), minimumPart * demand);
      part += demand > 0 ? share * own.offered().getOrDefault(team.getKey(), 0.0) / demand : 0;
    }
    return part;
  }

  private static double sum(Map<String, Double> demands) {
    return demands.values().stream().mapToDouble(Double::doubleValue).sum();
  }
}
