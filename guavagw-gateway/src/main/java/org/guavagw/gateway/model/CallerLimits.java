package org.guavagw.gateway.model;

import java.time.Duration;

/** Size limits and timeouts for requests of callers. Immutable. */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** Limits used until the first configuration is loaded. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
