package org.guavagw.gateway.internal.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.gateway.internal.routing.RouteTable;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.GatewayConfig;

/**
 * The control state by which requests are handled, as of one moment. Immutable.
 *
 * @param config empty until the first configuration was read
 * @param backendsByService backend servers with a readable registration, draining ones included
 * @param backendsKnown whether the list of backend servers was read at least once
 */
public record ControlView(
    Optional<GatewayConfig> config,
    RouteTable routes,
    Map<String, List<BackendServer>> backendsByService,
    Orders orders,
    boolean backendsKnown) {
  /** The view before anything was read. */
  public static final ControlView EMPTY =
      new ControlView(Optional.empty(), new RouteTable(List.of()), Map.of(), Orders.NONE, false);

  public ControlView {
    backendsByService = Map.copyOf(backendsByService);
  }

  /** Returns the backend servers of a service. */
  public List<BackendServer> backends(String service) {
    return backendsByService.getOrDefault(service, List.of());
  }

  /** Returns the version of the configuration in force; 0 if there is none yet. */
  public long configVersion() {
    return config.map(GatewayConfig::version).orElse(0L);
  }
}
