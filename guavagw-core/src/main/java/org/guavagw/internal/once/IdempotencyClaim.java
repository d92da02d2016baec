package org.guavagw.internal.once;

/** The exclusive right of a request to dispatch a call once. Immutable. */
public record IdempotencyClaim(IdempotencyKey key, String requestId) {}
