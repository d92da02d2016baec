package org.guavagw.gateway.model;

/**
 * A model that the engines of a service serve. Immutable.
 *
 * @param cost price of 1,000 generated tokens
 */
public record ModelSpec(String name, double cost) {}
