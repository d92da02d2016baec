package org.guavagw.internal.pipeline;

import org.guavagw.internal.engine.TokenUsage;

/**
 * An answer that was delivered completely. Immutable.
 *
 * @param usage tokens of the delivered answer; unknown for plain services
 */
public record CompletedAnswer(String backendServer, TokenUsage usage) {}
