package org.guavagw.internal.cascade;

import java.util.OptionalDouble;
import org.guavagw.config.VersionRef;

/**
 * A rating of one answer of a cascade, whether it came in time or late. Immutable.
 *
 * @param previousQuality rating or expected rating of the answer before; empty for the first
 * @param engineSignal the engine's own confidence, if it gave one
 */
public record CascadeObservation(
    String taskClass,
    VersionRef version,
    OptionalDouble previousQuality,
    double rating,
    OptionalDouble engineSignal) {}
