package org.guavagw.gateway.internal.relay;

import java.time.Duration;

/** When callers of refused requests have a chance elsewhere or later. Stateless. */
final class RetryAfter {
  /** No backend server may take the request now; the list changes within about this time. */
  static final Duration NO_SERVER = Duration.ofMillis(500);

  /** Every backend server that was asked was full. */
  static final Duration ALL_FULL = Duration.ofMillis(400);

  /** Callers reach another entry at the next try. */
  static final Duration SHUTTING_DOWN = Duration.ofMillis(50);

  private RetryAfter() {}
}
