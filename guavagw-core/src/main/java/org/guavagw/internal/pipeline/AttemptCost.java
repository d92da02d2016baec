package org.guavagw.internal.pipeline;

import org.guavagw.config.VersionRef;
import org.guavagw.internal.engine.TokenUsage;

/** Tokens and cost of one attempt that is charged. Immutable. */
public record AttemptCost(
    VersionRef version, String backendServer, TokenUsage usage, long costMicros) {}
