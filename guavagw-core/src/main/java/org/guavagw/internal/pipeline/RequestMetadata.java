package org.guavagw.internal.pipeline;

import java.util.Optional;

/**
 * What a caller sends with a request besides its content. Immutable.
 *
 * @param apiKey the bearer token; never logged
 * @param deadlineNanos monotonic time after which the caller no longer needs the answer
 */
public record RequestMetadata(
    Optional<String> apiKey,
    Optional<String> sessionId,
    Optional<String> idempotencyKey,
    long deadlineNanos) {
  @Override
  public String toString() {
    return "RequestMetadata[session=" + sessionId + ", deadlineNanos=" + deadlineNanos + "]";
  }
}
