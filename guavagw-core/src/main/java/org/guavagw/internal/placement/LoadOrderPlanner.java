package org.guavagw.internal.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.lease.Lease;
import org.guavagw.internal.limits.TimeWeightedMean;

/**
 * Plans which versions backend servers shall load or unload as demand shifts.
 *
 * <p>Invariants: no order without a lease that is safe now, and each carries its fencing number; no
 * more loads than the weight store grants; a version is never unloaded from its last backend
 * server, and never soon after it was loaded there; demand is observed for a while before it
 * counts. Not thread-safe; for the control thread.
 */
public final class LoadOrderPlanner {
  private static final Duration DEMAND_WINDOW = Duration.ofSeconds(30);
  private static final long MIN_OBSERVATION_NANOS = Duration.ofMinutes(1).toNanos();
  private static final double LOAD_UTILISATION = 0.8;
  private static final double UNLOAD_UTILISATION = 0.4;
  private static final long LOAD_TIMEOUT_NANOS = Duration.ofMinutes(2).toNanos();
  private static final long MIN_RESIDENCE_NANOS = Duration.ofMinutes(10).toNanos();

  private final long minLoadGapNanos;
  private final Map<VersionRef, Demand> demand = new HashMap<>();
  private final Map<OrderKey, Long> loadedNanos = new HashMap<>();
  private Optional<Long> lastLoadNanos = Optional.empty();

  /** A planner for a weight store that grants one download in the given time. */
  public LoadOrderPlanner(Duration minLoadGap) {
    this.minLoadGapNanos = minLoadGap.toNanos();
  }

  /** Takes how many requests run and wait for each version, over all entries. */
  public void onDemand(Map<VersionRef, Integer> requests, long nowNanos) {
    requests.keySet().forEach(v -> demand.computeIfAbsent(v, k -> Demand.since(nowNanos)));
    demand.forEach((v, d) -> d.mean().set(requests.getOrDefault(v, 0), nowNanos));
  }

  /** The orders to give now, at most one load. */
  public List<LoadOrder> plan(Optional<Lease> lease, List<Loadout> servers, long nowNanos) {
    if (lease.isEmpty() || !lease.get().isSafe()) {
      return List.of();
    }
    loadedNanos.values().removeIf(at -> nowNanos - at >= MIN_RESIDENCE_NANOS);
    long fencing = lease.get().fencingNumber();
    List<LoadOrder> orders = new ArrayList<>();
    planLoad(servers, fencing, nowNanos).ifPresent(orders::add);
    if (orders.isEmpty()) {
      planUnload(servers, fencing, nowNanos).ifPresent(orders::add);
    }
    return orders;
  }

  private Optional<LoadOrder> planLoad(List<Loadout> servers, long fencing, long nowNanos) {
    if (lastLoadNanos.isPresent() && nowNanos - lastLoadNanos.get() < minLoadGapNanos) {
      return Optional.empty();
    }
    Optional<VersionRef> scarcest =
        demand.keySet().stream()
            .filter(v -> isKnown(v, nowNanos))
            .filter(v -> utilisation(v, servers, nowNanos) > LOAD_UTILISATION)
            .max(Comparator.comparingDouble(v -> utilisation(v, servers, nowNanos)));
    return scarcest
        .flatMap(v -> leastDemanded(v, servers, nowNanos))
        .map(key -> load(key, fencing, nowNanos));
  }

  private LoadOrder load(OrderKey key, long fencing, long nowNanos) {
    lastLoadNanos = Optional.of(nowNanos);
    loadedNanos.put(key, nowNanos);
    return new LoadOrder(LoadOrder.Kind.LOAD, key.backendId(), key.version(), fencing);
  }

  /** The backend server that may serve the version and whose own versions are least in demand. */
  private Optional<OrderKey> leastDemanded(
      VersionRef version, List<Loadout> servers, long nowNanos) {
    return servers.stream()
        .filter(s -> s.server().serves().contains(version))
        .filter(s -> !hasOrGets(s, version, nowNanos))
        .min(Comparator.comparingDouble(s -> busiest(s, servers, nowNanos)))
        .map(s -> new OrderKey(s.server().id(), version));
  }

  private double busiest(Loadout server, List<Loadout> servers, long nowNanos) {
    return server.loaded().stream()
        .mapToDouble(v -> utilisation(v, servers, nowNanos))
        .max()
        .orElse(0);
  }

  private Optional<LoadOrder> planUnload(List<Loadout> servers, long fencing, long nowNanos) {
    for (Loadout server : servers) {
      for (VersionRef version : server.loaded()) {
        if (server.loaded().size() > 1 && isSpare(server, version, servers, nowNanos)) {
          return Optional.of(
              new LoadOrder(LoadOrder.Kind.UNLOAD, server.server().id(), version, fencing));
        }
      }
    }
    return Optional.empty();
  }

  private boolean isSpare(
      Loadout server, VersionRef version, List<Loadout> servers, long nowNanos) {
    boolean fresh = loadedNanos.containsKey(new OrderKey(server.server().id(), version));
    boolean known = isKnown(version, nowNanos);
    int left = slots(version, servers, nowNanos) - server.server().slots();
    return known && !fresh && left > 0 && mean(version, nowNanos) / left < UNLOAD_UTILISATION;
  }

  private double utilisation(VersionRef version, List<Loadout> servers, long nowNanos) {
    double wanted = mean(version, nowNanos);
    return wanted == 0 ? 0 : wanted / slots(version, servers, nowNanos);
  }

  private int slots(VersionRef version, List<Loadout> servers, long nowNanos) {
    return servers.stream()
        .filter(s -> hasOrGets(s, version, nowNanos))
        .mapToInt(s -> s.server().slots())
        .sum();
  }

  private boolean hasOrGets(Loadout server, VersionRef version, long nowNanos) {
    Long ordered = loadedNanos.get(new OrderKey(server.server().id(), version));
    boolean loading = ordered != null && nowNanos - ordered < LOAD_TIMEOUT_NANOS;
    return loading || server.loaded().contains(version);
  }

  private double mean(VersionRef version, long nowNanos) {
    Demand known = demand.get(version);
    return known == null ? 0 : known.mean().mean(nowNanos);
  }

  private boolean isKnown(VersionRef version, long nowNanos) {
    Demand known = demand.get(version);
    return known != null && nowNanos - known.sinceNanos() >= MIN_OBSERVATION_NANOS;
  }

  /** Demand for a version and when it was first observed. For the control thread. */
  private record Demand(TimeWeightedMean mean, long sinceNanos) {
    static Demand since(long nowNanos) {
      return new Demand(new TimeWeightedMean(DEMAND_WINDOW), nowNanos);
    }
  }

  /** A version at a backend server. Immutable. */
  private record OrderKey(String backendId, VersionRef version) {}
}
