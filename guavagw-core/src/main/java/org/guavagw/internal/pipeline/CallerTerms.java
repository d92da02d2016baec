package org.guavagw.internal.pipeline;

import java.util.Optional;

/**
 * What a caller asked for besides the work itself. Immutable.
 *
 * @param apiKey the bearer token; never logged
 * @param deadlineNanos monotonic time after which the answer is worthless
 */
public record CallerTerms(
    Optional<String> apiKey,
    Optional<String> sessionId,
    Optional<String> idempotencyKey,
    long deadlineNanos) {
  @Override
  public String toString() {
    return "CallerTerms[session=" + sessionId + ", deadlineNanos=" + deadlineNanos + "]";
  }
}
