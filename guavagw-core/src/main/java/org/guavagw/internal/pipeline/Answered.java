package org.guavagw.internal.pipeline;

import org.guavagw.internal.engine.Usage;

/**
 * A request that got its whole answer. Immutable.
 *
 * @param usage tokens of the answer that the caller got; unknown for plain services
 */
public record Answered(String backendServer, Usage usage) {}
