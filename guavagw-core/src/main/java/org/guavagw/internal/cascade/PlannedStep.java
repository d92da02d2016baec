package org.guavagw.internal.cascade;

/**
 * Step of a plan with its expected result. Immutable.
 *
 * @param index index of the step in the query
 * @param passChance probability that its answer is accepted
 */
public record PlannedStep(int index, CascadeStep step, double expectedQuality, double passChance) {}
