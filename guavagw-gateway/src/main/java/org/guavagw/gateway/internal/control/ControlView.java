package org.guavagw.gateway.internal.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.gateway.internal.routing.RouteTable;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.model.GatewayConfig;

/**
 * Everything that requests are decided by, as of one moment. Immutable.
 *
 * @param config empty until the first configuration is known
 * @param backendsByService usable descriptions of backend servers, draining ones included
 * @param backendsKnown whether the list of backend servers was read at least once
 */
public record ControlView(
    Optional<GatewayConfig> config,
    RouteTable routes,
    Map<String, List<BackendServer>> backendsByService,
    Orders orders,
    boolean backendsKnown) {
  /** Nothing known yet. */
  public static final ControlView EMPTY =
      new ControlView(Optional.empty(), new RouteTable(List.of()), Map.of(), Orders.NONE, false);

  public ControlView {
    backendsByService = Map.copyOf(backendsByService);
  }

  /** Backend servers of a service. */
  public List<BackendServer> backends(String service) {
    return backendsByService.getOrDefault(service, List.of());
  }

  /** Version of the configuration in force; 0 before the first. */
  public long configVersion() {
    return config.map(GatewayConfig::version).orElse(0L);
  }
}
