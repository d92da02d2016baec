package org.guavagw.internal.billing;

import java.time.Instant;
import org.guavagw.config.VersionRef;

/**
 * The stored intent to bill a request, with the cost known before it runs. Immutable.
 *
 * @param inputMicros cost of the input
 * @param maxMicros maximum cost of the request
 */
public record BillIntentRecord(
    String requestId,
    String team,
    VersionRef version,
    long inputMicros,
    long maxMicros,
    Instant time) {}
