package org.guavagw.gateway.model;

import java.time.Duration;

/**
 * The operators' wish to move a service to another version. Immutable.
 *
 * @param revision version of the order in the store; tells repeated orders apart
 */
public record RolloutOrder(String service, String toVersion, Duration within, long revision) {}
