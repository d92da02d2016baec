package org.guavagw.internal.config;

import org.guavagw.config.GatewayConfig;

/**
 * A configuration that an operator wants to put in force. Immutable.
 *
 * @param changeId chosen by the operator's client; applying the same id again changes nothing
 * @param expectedRevision the revision that the operator saw when writing the change
 */
public record ConfigChange(
    String changeId, String author, String comment, long expectedRevision, GatewayConfig config) {}
