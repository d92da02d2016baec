package org.guavagw.internal.billing;

import java.util.concurrent.CompletableFuture;

/**
 * An intent to bill one request and the future of its write. Immutable.
 *
 * @param durable completes when the answer may be released to the caller, or with a refusal. It may
 *     complete on the writer thread, so dependent actions must run asynchronously
 */
public record PendingBillIntent(String requestId, CompletableFuture<IntentOutcome> durable) {}
