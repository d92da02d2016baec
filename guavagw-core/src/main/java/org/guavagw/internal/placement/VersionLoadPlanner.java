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
 * Plans which versions backend servers load and unload as demand shifts.
 *
 * <p>Invariants: commands are planned only under a lease that is safe at that time, and carry its
 * fencing number; loads do not exceed the download rate that the weight store grants; a version is
 * never unloaded from its last backend server, nor soon after it was loaded there; demand for a
 * version counts only after a minimum time of observation. Not thread-safe; for the control thread.
 */
public final class VersionLoadPlanner {
  private static final Duration DEMAND_WINDOW = Duration.ofSeconds(30);
  private static final long MIN_OBSERVATION_NANOS = Duration.ofMinutes(1).toNanos();
  private static final double LOAD_UTILISATION = 0.8;
  private static final double UNLOAD_UTILISATION = 0.4;
  private static final long LOAD_TIMEOUT_NANOS = Duration.ofMinutes(2).toNanos();
  private static final long MIN_RESIDENCE_NANOS = Duration.ofMinutes(10).toNanos();

  private final long minLoadGapNanos;
  private final Map<VersionRef, Demand> demand = new HashMap<>();
  private final Map<ServerVersion, Long> loadCommandNanos = new HashMap<>();
  private Optional<Long> lastLoadNanos = Optional.empty();

  /** Creates a planner for a weight store that grants one download per given time. */
  public VersionLoadPlanner(Duration minLoadGap) {
    this.minLoadGapNanos = minLoadGap.toNanos();
  }

  /** Updates the number of running and queued requests for each version, over all entries. */
  public void onDemand(Map<VersionRef, Integer> requests, long nowNanos) {
    requests.keySet().forEach(v -> demand.computeIfAbsent(v, k -> Demand.since(nowNanos)));
    demand.forEach((v, d) -> d.mean().set(requests.getOrDefault(v, 0), nowNanos));
  }

  /** Returns the commands to send now, at most one of them a load. */
  public List<VersionLoadCommand> plan(
      Optional<Lease> lease, List<LoadedVersions> servers, long nowNanos) {
    if (lease.isEmpty() || !lease.get().isSafe()) {
      return List.of();
    }
    loadCommandNanos.values().removeIf(at -> nowNanos - at >= MIN_RESIDENCE_NANOS);
    long fencing = lease.get().fencingNumber();
    List<VersionLoadCommand> commands = new ArrayList<>();
    planLoad(servers, fencing, nowNanos).ifPresent(commands::add);
    if (commands.isEmpty()) {
      planUnload(servers, fencing, nowNanos).ifPresent(commands::add);
    }
    return commands;
  }

  private Optional<VersionLoadCommand> planLoad(
      List<LoadedVersions> servers, long fencing, long nowNanos) {
    if (lastLoadNanos.isPresent() && nowNanos - lastLoadNanos.get() < minLoadGapNanos) {
      return Optional.empty();
    }
    Optional<VersionRef> scarcest =
        demand.keySet().stream()
            .filter(v -> isObservedLongEnough(v, nowNanos))
            .filter(v -> utilisation(v, servers, nowNanos) > LOAD_UTILISATION)
            .max(Comparator.comparingDouble(v -> utilisation(v, servers, nowNanos)));
    return scarcest
        .flatMap(v -> leastUtilisedServer(v, servers, nowNanos))
        .map(key -> load(key, fencing, nowNanos));
  }

  private VersionLoadCommand load(ServerVersion key, long fencing, long nowNanos) {
    lastLoadNanos = Optional.of(nowNanos);
    loadCommandNanos.put(key, nowNanos);
    return new VersionLoadCommand(
        VersionLoadCommand.Kind.LOAD, key.backendId(), key.version(), fencing);
  }

  /**
   * Returns the backend server that may serve the version and whose loaded versions have the lowest
   * utilisation.
   */
  private Optional<ServerVersion> leastUtilisedServer(
      VersionRef version, List<LoadedVersions> servers, long nowNanos) {
    return servers.stream()
        .filter(s -> s.server().serves().contains(version))
        .filter(s -> !hasOrIsLoading(s, version, nowNanos))
        .min(Comparator.comparingDouble(s -> highestUtilisation(s, servers, nowNanos)))
        .map(s -> new ServerVersion(s.server().id(), version));
  }

  private double highestUtilisation(
      LoadedVersions server, List<LoadedVersions> servers, long nowNanos) {
    return server.loaded().stream()
        .mapToDouble(v -> utilisation(v, servers, nowNanos))
        .max()
        .orElse(0);
  }

  private Optional<VersionLoadCommand> planUnload(
      List<LoadedVersions> servers, long fencing, long nowNanos) {
    for (LoadedVersions server : servers) {
      for (VersionRef version : server.loaded()) {
        if (server.loaded().size() > 1 && canUnload(server, version, servers, nowNanos)) {
          return Optional.of(
              new VersionLoadCommand(
                  VersionLoadCommand.Kind.UNLOAD, server.server().id(), version, fencing));
        }
      }
    }
    return Optional.empty();
  }

  private boolean canUnload(
      LoadedVersions server, VersionRef version, List<LoadedVersions> servers, long nowNanos) {
    boolean recentlyLoaded =
        loadCommandNanos.containsKey(new ServerVersion(server.server().id(), version));
    boolean known = isObservedLongEnough(version, nowNanos);
    int remainingSlots = slots(version, servers, nowNanos) - server.server().slots();
    return known
        && !recentlyLoaded
        && remainingSlots > 0
        && mean(version, nowNanos) / remainingSlots < UNLOAD_UTILISATION;
  }

  private double utilisation(VersionRef version, List<LoadedVersions> servers, long nowNanos) {
    double meanDemand = mean(version, nowNanos);
    return meanDemand == 0 ? 0 : meanDemand / slots(version, servers, nowNanos);
  }

  private int slots(VersionRef version, List<LoadedVersions> servers, long nowNanos) {
    return servers.stream()
        .filter(s -> hasOrIsLoading(s, version, nowNanos))
        .mapToInt(s -> s.server().slots())
        .sum();
  }

  private boolean hasOrIsLoading(LoadedVersions server, VersionRef version, long nowNanos) {
    Long commandNanos = loadCommandNanos.get(new ServerVersion(server.server().id(), version));
    boolean loading = commandNanos != null && nowNanos - commandNanos < LOAD_TIMEOUT_NANOS;
    return loading || server.loaded().contains(version);
  }

  private double mean(VersionRef version, long nowNanos) {
    Demand known = demand.get(version);
    return known == null ? 0 : known.mean().mean(nowNanos);
  }

  private boolean isObservedLongEnough(VersionRef version, long nowNanos) {
    Demand known = demand.get(version);
    return known != null && nowNanos - known.sinceNanos() >= MIN_OBSERVATION_NANOS;
  }

  /** Demand for a version and the time at which it was first observed. For the control thread. */
  private record Demand(TimeWeightedMean mean, long sinceNanos) {
    static Demand since(long nowNanos) {
      return new Demand(new TimeWeightedMean(DEMAND_WINDOW), nowNanos);
    }
  }

  /** A version on a backend server. Immutable. */
  private record ServerVersion(String backendId, VersionRef version) {}
}
