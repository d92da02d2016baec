package org.guavagw.gateway.model;

import java.util.Optional;

/**
 * The operators' configuration of a service. Immutable.
 *
 * @param maxConnections maximum connections to one backend server from all entries together
 * @param coldRequestsPerSecond request rate that a backend server tolerates during its cold start;
 *     0 for no limit
 * @param engine capacity of the engines; present if the backend servers run models
 */
public record ServiceSpec(
    String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {}
