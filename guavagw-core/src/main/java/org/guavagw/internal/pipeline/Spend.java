package org.guavagw.internal.pipeline;

import org.guavagw.config.VersionRef;
import org.guavagw.internal.engine.Usage;

/** What one attempt whose tokens count took. Immutable. */
public record Spend(VersionRef version, String backendServer, Usage usage, long costMicros) {}
