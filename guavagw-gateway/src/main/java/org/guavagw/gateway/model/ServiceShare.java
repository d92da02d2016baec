package org.guavagw.gateway.model;

/** A service that takes a weighted share of a route. Immutable; the weight is not negative. */
public record ServiceShare(String service, int weight) {}
