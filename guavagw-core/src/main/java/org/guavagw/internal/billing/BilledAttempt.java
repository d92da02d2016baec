package org.guavagw.internal.billing;

import org.guavagw.config.VersionRef;

/** One of the attempts that a bill covers. Immutable. */
public record BilledAttempt(
    String backendServer,
    VersionRef version,
    long inputTokens,
    long outputTokens,
    long costMicros) {}
