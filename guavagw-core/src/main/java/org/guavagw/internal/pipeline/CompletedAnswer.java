package org.guavagw.internal.pipeline;

import org.guavagw.internal.engine.TokenUsage;

/**
 * An answer that reached its sink completely. Immutable.
 *
 * @param usage tokens of the answer; unknown for plain services
 */
public record CompletedAnswer(String backendServer, TokenUsage usage) {}
