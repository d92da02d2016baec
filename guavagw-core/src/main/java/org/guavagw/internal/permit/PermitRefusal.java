package org.guavagw.internal.permit;

import java.time.Duration;

/** Why a permit was not granted. Immutable. */
public record PermitRefusal(Reason reason, Duration retryAfter) {
  /** What stood against it. */
  public enum Reason {
    /** The backend server has as much work as it takes in cold start. */
    FULL,
    /** No entry is known to own the backend server's permits now. */
    NO_OWNER,
    /** The owner did not answer in time. */
    TIMEOUT
  }
}
