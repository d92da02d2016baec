package org.guavagw.internal.billing;

import java.time.Instant;
import org.guavagw.config.VersionRef;

/**
 * What is known about a request's cost before it runs. Immutable.
 *
 * @param inputMicros cost of the input alone
 * @param maxMicros the most that the request can cost
 */
public record BillOpening(
    String requestId,
    String team,
    VersionRef version,
    long inputMicros,
    long maxMicros,
    Instant time) {}
