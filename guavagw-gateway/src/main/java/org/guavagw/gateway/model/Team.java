package org.guavagw.gateway.model;

import java.util.OptionalInt;

/**
 * A team of callers. Immutable.
 *
 * @param priority overrides the priority of the route if present
 */
public record Team(String name, OptionalInt priority) {}
