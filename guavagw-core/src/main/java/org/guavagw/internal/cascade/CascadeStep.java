package org.guavagw.internal.cascade;

import java.time.Duration;
import org.guavagw.config.VersionRef;

/**
 * Step that a request may take. Immutable.
 *
 * @param costMicros expected cost of the answer in micro-units of currency
 * @param latency expected time until the answer is complete
 */
public record CascadeStep(VersionRef version, long costMicros, Duration latency) {}
