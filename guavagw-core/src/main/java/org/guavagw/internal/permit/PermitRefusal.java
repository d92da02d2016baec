package org.guavagw.internal.permit;

import java.time.Duration;

/** Why a permit was not granted. Immutable. */
public record PermitRefusal(Reason reason, Duration retryAfter) {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** What stood against it. */
  public enum Reason {
    /** The backend server has as much work as it takes in cold start. */
    FULL,
    /** No entry that could be asked owns the backend server's permits now. */
    NO_OWNER
  }

  static PermitRefusal of(Reason reason) {
    return new PermitRefusal(reason, RETRY_AFTER);
  }
}
