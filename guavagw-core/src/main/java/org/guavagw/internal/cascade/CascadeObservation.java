package org.guavagw.internal.cascade;

import java.util.OptionalDouble;
import org.guavagw.config.VersionRef;

/**
 * Rating of one answer of a cascade, in time or late. Immutable.
 *
 * @param previousQuality rating or expected rating of the previous answer; empty for the first
 *     answer
 * @param engineSignal the engine's own confidence, if it reported one
 */
public record CascadeObservation(
    String taskClass,
    VersionRef version,
    OptionalDouble previousQuality,
    double rating,
    OptionalDouble engineSignal) {}
