package org.guavagw.internal.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.DataCentreConfig;
import org.guavagw.config.DataCentreState;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.PlainServiceConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.config.RevisionedConfig;

/**
 * Index of the backend servers by target and by data centre, for one configuration revision.
 *
 * <p>Invariant: contains no backend server that is leaving or whose data centre is out of service.
 * Immutable.
 */
public final class BackendIndex {
  private final long revision;
  private final Map<PlacementTarget, TargetServers> targets;
  private final Map<String, DataCentreConfig> dataCentres;
  private final Map<String, BackendServerConfig> eligible;
  private final Map<String, Long> returnedToServiceNanos;

  private BackendIndex(
      long revision,
      Map<PlacementTarget, TargetServers> targets,
      Map<String, DataCentreConfig> dataCentres,
      Map<String, BackendServerConfig> eligible,
      Map<String, Long> returnedToServiceNanos) {
    this.revision = revision;
    this.targets = Map.copyOf(targets);
    this.dataCentres = Map.copyOf(dataCentres);
    this.eligible = Map.copyOf(eligible);
    this.returnedToServiceNanos = Map.copyOf(returnedToServiceNanos);
  }

  /** Returns the index of an initial revision. */
  public static BackendIndex of(RevisionedConfig revisioned) {
    return build(revisioned, Map.of());
  }

  /**
   * Returns the index of a later revision, with the times at which data centres returned to
   * service.
   */
  public BackendIndex next(RevisionedConfig revisioned, long nowNanos) {
    Map<String, Long> returned = new HashMap<>();
    for (DataCentreConfig dc : revisioned.config().dataCentres()) {
      DataCentreConfig before = dataCentres.get(dc.id());
      boolean in = dc.state() == DataCentreState.IN;
      if (in && before != null && before.state() == DataCentreState.OUT) {
        returned.put(dc.id(), nowNanos);
      } else if (in && returnedToServiceNanos.containsKey(dc.id())) {
        returned.put(dc.id(), returnedToServiceNanos.get(dc.id()));
      }
    }
    return build(revisioned, returned);
  }

  /** Returns the configuration revision of this index. */
  public long revision() {
    return revision;
  }

  /** Returns a backend server that may receive new work, or empty. */
  public Optional<BackendServerConfig> server(String id) {
    return Optional.ofNullable(eligible.get(id));
  }

  /** Returns all backend servers that may receive new work. */
  public Collection<BackendServerConfig> servers() {
    return eligible.values();
  }

  /** Returns the backend servers that may receive new work for a target. */
  public Collection<BackendServerConfig> servers(PlacementTarget target) {
    return target(target).byId().values();
  }

  TargetServers target(PlacementTarget target) {
    return targets.getOrDefault(target, TargetServers.NONE);
  }

  /** Returns when a data centre returned to service, or null if that was not observed. */
  Long returnedToServiceNanos(String dataCentre) {
    return returnedToServiceNanos.get(dataCentre);
  }

  boolean sameRegion(String a, String b) {
    DataCentreConfig first = dataCentres.get(a);
    DataCentreConfig second = dataCentres.get(b);
    return first != null && second != null && first.region().equals(second.region());
  }

  private static BackendIndex build(RevisionedConfig revisioned, Map<String, Long> returned) {
    GatewayConfig config = revisioned.config();
    Map<String, DataCentreConfig> dataCentres = new HashMap<>();
    config.dataCentres().forEach(dc -> dataCentres.put(dc.id(), dc));
    Map<String, BackendServerConfig> eligible = new LinkedHashMap<>();
    config.backendServers().stream()
        .filter(s -> !s.leaving() && isIn(dataCentres.get(s.dataCentre())))
        .forEach(s -> eligible.put(s.id(), s));
    Map<PlacementTarget, List<BackendServerConfig>> serving = new HashMap<>();
    for (BackendServerConfig server : eligible.values()) {
      for (VersionRef ref : server.serves()) {
        add(serving, new PlacementTarget.Version(ref), server);
      }
    }
    for (PlainServiceConfig service : config.plainServices()) {
      service.backendServers().stream()
          .map(eligible::get)
          .filter(s -> s != null)
          .forEach(s -> add(serving, new PlacementTarget.Service(service.id()), s));
    }
    Map<PlacementTarget, TargetServers> targets = new HashMap<>();
    serving.forEach((target, servers) -> targets.put(target, TargetServers.of(servers)));
    return new BackendIndex(revisioned.revision(), targets, dataCentres, eligible, returned);
  }

  private static boolean isIn(DataCentreConfig dc) {
    return dc != null && dc.state() == DataCentreState.IN;
  }

  private static void add(
      Map<PlacementTarget, List<BackendServerConfig>> serving,
      PlacementTarget target,
      BackendServerConfig server) {
    serving.computeIfAbsent(target, t -> new ArrayList<>()).add(server);
  }
}
