package org.guavagw.standins.service;

import java.time.Instant;
import java.util.Optional;

/**
 * One execution of a call by a plain service. Immutable.
 *
 * @param callTag tag in the body that identifies the call of the caller
 */
public record ServiceCall(
    String service,
    String method,
    String path,
    Optional<String> requestId,
    Optional<String> idempotencyKey,
    Optional<String> callTag,
    Instant start) {}
