package org.guavagw.internal.once;

/** The right of one request to dispatch one call once. Immutable. */
public record OnceClaim(OnceKey key, String requestId) {}
