package org.guavagw.gateway.model;

/**
 * A service that receives a weighted share of a route's requests. Immutable; the weight is not
 * negative.
 */
public record ServiceShare(String service, int weight) {}
