package org.guavagw.internal.config;

import org.guavagw.config.GatewayConfig;

/**
 * A configuration that an operator submits to replace the newest one. Immutable.
 *
 * @param changeId idempotency key chosen by the operator's client
 * @param expectedRevision the newest revision that the operator knew when writing the change
 */
public record ConfigChange(
    String changeId, String author, String comment, long expectedRevision, GatewayConfig config) {}
