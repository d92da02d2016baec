package org.guavagw.gateway.internal.placement;

/**
 * What a backend server has to read for one attempt. Immutable.
 *
 * @param tokens prompt tokens that it probably does not hold
 * @param millis time that the model needs for them
 * @param alone whether no other prompt waited there when the attempt was sent
 */
public record PromptWork(String model, int tokens, double millis, boolean alone) {}
