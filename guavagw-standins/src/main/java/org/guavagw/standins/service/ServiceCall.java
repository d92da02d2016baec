package org.guavagw.standins.service;

import java.time.Instant;
import java.util.Optional;

/** One execution of a call by a plain service. Immutable. */
public record ServiceCall(
    String service,
    String method,
    String path,
    Optional<String> requestId,
    Optional<String> idempotencyKey,
    Instant start) {}
