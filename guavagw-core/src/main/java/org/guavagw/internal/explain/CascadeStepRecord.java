package org.guavagw.internal.explain;

import java.util.OptionalDouble;

/**
 * One step of a cascade. Immutable.
 *
 * @param rating from 0 to 1; empty if the answer was not rated
 */
public record CascadeStepRecord(
    String model, String version, OptionalDouble rating, long costMicros, boolean accepted) {}
