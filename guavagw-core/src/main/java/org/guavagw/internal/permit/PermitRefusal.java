package org.guavagw.internal.permit;

import java.time.Duration;

/** Why a permit was not granted. Immutable. */
public record PermitRefusal(Reason reason, Duration retryAfter) {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** The reason of a refusal. */
  public enum Reason {
    /** The backend server's limit of requests during cold start is reached. */
    FULL,
    /** No reachable entry may grant permits for the backend server now. */
    NO_OWNER
  }

  static PermitRefusal of(Reason reason) {
    return new PermitRefusal(reason, RETRY_AFTER);
  }
}
