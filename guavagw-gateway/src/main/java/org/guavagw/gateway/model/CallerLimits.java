package org.guavagw.gateway.model;

import java.time.Duration;

/** What a caller may send and how long it may take. Immutable. */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
  /** Limits before the first configuration is known. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
}
