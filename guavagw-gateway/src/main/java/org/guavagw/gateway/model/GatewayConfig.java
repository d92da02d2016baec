package org.guavagw.gateway.model;

import java.util.List;
import java.util.Map;

/**
 * One version of the operators' configuration. Immutable.
 *
 * @param version increases with every change
 * @param teamsByKey teams by API key; empty if no keys are required
 */
public record GatewayConfig(
    long version,
    List<Route> routes,
    Map<String, ServiceSpec> services,
    Map<String, Team> teamsByKey,
    boolean keysRequired,
    CallerLimits limits) {
  public GatewayConfig {
    routes = List.copyOf(routes);
    services = Map.copyOf(services);
    teamsByKey = Map.copyOf(teamsByKey);
  }
}
