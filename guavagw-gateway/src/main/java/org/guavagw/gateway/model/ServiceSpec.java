package org.guavagw.gateway.model;

import java.util.Optional;

/**
 * A service as the operators configured it. Immutable.
 *
 * @param maxConnections connections that one backend server accepts from all callers together
 * @param coldRequestsPerSecond requests that a cold backend server tolerates; 0 for no limit
 * @param engine present where the backend servers run models
 */
public record ServiceSpec(
    String name, int maxConnections, double coldRequestsPerSecond, Optional<EngineSpec> engine) {}
