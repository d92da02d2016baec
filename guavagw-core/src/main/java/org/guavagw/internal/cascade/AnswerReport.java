package org.guavagw.internal.cascade;

import java.util.OptionalDouble;

/**
 * What is known of an answer before it is sent to the caller. Immutable.
 *
 * @param step index of the step in the query
 * @param rating the rating from 0 to 1, if it came in time
 * @param engineSignal the engine's own confidence from 0 to 1, if it gives one
 */
public record AnswerReport(int step, OptionalDouble rating, OptionalDouble engineSignal) {}
