package org.guavagw.internal.placement;

import java.time.Duration;

/** Reason why no backend server can be chosen for a request. Immutable. */
public record NoBackend(Reason reason, Duration retryAfter) {
  /** Why every backend server is ruled out. */
  public enum Reason {
    /**
     * No backend server in service serves the target; leaving servers and data centres out of
     * service do not count.
     */
    NOT_SERVED,
    /** The query excludes all backend servers that serve the target. */
    ALL_EXCLUDED,
    /** The circuit breaker of each remaining backend server, or of its data centre, is open. */
    CIRCUITS_OPEN
  }
}
