package org.guavagw.internal.cascade;

import java.util.OptionalDouble;

/**
 * Answer of one step, before it is sent to the caller. Immutable.
 *
 * @param step index of the step in the query
 * @param rating rating from 0 to 1, if it arrived in time
 * @param engineSignal the engine's own confidence from 0 to 1, if it reports one
 */
public record AnswerReport(int step, OptionalDouble rating, OptionalDouble engineSignal) {}
