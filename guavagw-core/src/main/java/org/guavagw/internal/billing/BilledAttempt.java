package org.guavagw.internal.billing;

import org.guavagw.config.VersionRef;

/** One dispatch among those that one bill covers. Immutable. */
public record BilledAttempt(
    String backendServer,
    VersionRef version,
    long inputTokens,
    long outputTokens,
    long costMicros) {}
