package org.guavagw.gateway.model;

/**
 * A model served by the engines of a service. Immutable.
 *
 * @param cost price of 1,000 generated tokens
 */
public record ModelSpec(String name, double cost) {}
