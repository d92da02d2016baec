package org.guavagw.gateway.internal.relay;

import java.time.Duration;

/** Delays after which callers should retry refused requests. Stateless. */
final class RetryAfterDelays {
  /** No backend server is available; the list changes within about this time. */
  static final Duration NO_BACKEND_SERVER = Duration.ofMillis(500);

  /** Every backend server that was tried was full. */
  static final Duration ALL_BACKEND_SERVERS_FULL = Duration.ofMillis(400);

  /** A retry reaches another entry. */
  static final Duration SHUTTING_DOWN = Duration.ofMillis(50);

  /** This entry was too slow; a retry reaches another one. */
  static final Duration OTHER_ENTRY = Duration.ofMillis(50);

  private RetryAfterDelays() {}
}
