package org.guavagw.gateway.internal.relay;

import java.util.Optional;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.control.CurrentControlView;
import org.guavagw.gateway.internal.limits.BrittleServers;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.model.EngineSpec;
import org.guavagw.gateway.model.GatewayConfig;
import org.guavagw.gateway.model.ServiceSpec;

/**
 * The limits that follow from the configuration in force, and this entry's part of those that all
 * entries share. Keeps no state. Traffic thread only.
 */
final class ConfiguredLimits {
  private final CurrentControlView currentView;
  private final Supplier<Members> members;

  ConfiguredLimits(CurrentControlView currentView, Supplier<Members> members) {
    this.currentView = currentView;
    this.members = members;
  }

  /** Returns the capacity of the engines of a service; empty if it has none. */
  Optional<EngineSpec> engineOf(String service) {
    return service(service).flatMap(ServiceSpec::engine);
  }

  /** Returns the largest number of connections that any backend server accepts. */
  int maxBackendConnections() {
    return currentView.get().config().stream()
        .flatMap(c -> c.services().values().stream())
        .mapToInt(ServiceSpec::maxConnections)
        .max()
        .orElse(Integer.MAX_VALUE);
  }

  /** Returns the rate at which this entry may send to a backend server during its cold start. */
  double coldRequestsPerSecond(BackendServer server) {
    double toleratedPerSecond =
        service(server.service())
            .map(ServiceSpec::coldRequestsPerSecond)
            .filter(perSecond -> perSecond > 0)
            .orElse(Double.MAX_VALUE);
    return members.get().coldShare(server.id(), server.dataCentre(), toleratedPerSecond);
  }

  /** Returns this entry's part of the rate that a backend server takes from all entries. */
  double requestLimitShare(BackendServer server, double perSecond) {
    return members.get().limitShare(server.id(), server.dataCentre(), perSecond);
  }

  /** Returns whether this entry is one of those that send to a brittle server first. */
  boolean testsBrittleServer(BackendServer server) {
    return members.get().participates(server.id(), server.dataCentre(), BrittleServers.TESTERS);
  }

  /** Returns the limits for requests of callers. */
  CallerLimits callerLimits() {
    Optional<GatewayConfig> config = currentView.get().config();
    return config.map(GatewayConfig::limits).orElse(CallerLimits.DEFAULT);
  }

  private Optional<ServiceSpec> service(String name) {
    return currentView.get().config().flatMap(c -> Optional.ofNullable(c.services().get(name)));
  }
}
