package org.guavagw.internal.billing;

import java.util.concurrent.CompletableFuture;

/**
 * The durable intent to bill one request. Immutable.
 *
 * @param durable completes once the first byte of the answer may be released, or with a refusal; it
 *     may complete on the writer thread, so that dependent work must be asynchronous
 */
public record BillIntent(String requestId, CompletableFuture<IntentOutcome> durable) {}
