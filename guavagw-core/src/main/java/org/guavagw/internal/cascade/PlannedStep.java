package org.guavagw.internal.cascade;

/**
 * A step of a plan with what is expected of it. Immutable.
 *
 * @param index place of the step in the query
 * @param passChance chance that its answer is accepted
 */
public record PlannedStep(int index, CascadeStep step, double expectedQuality, double passChance) {}
