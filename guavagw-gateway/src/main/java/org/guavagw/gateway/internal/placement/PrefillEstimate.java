package org.guavagw.gateway.internal.placement;

/**
 * The estimated prefill of one attempt at its backend server. Immutable.
 *
 * @param tokens prompt tokens that are probably not in the prefix cache
 * @param millis prefill time of these tokens
 * @param queueEmpty whether no other prompt was queued there when the attempt was sent
 */
public record PrefillEstimate(String model, int tokens, double millis, boolean queueEmpty) {}
