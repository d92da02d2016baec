package org.guavagw.internal.placement;

import java.time.Duration;

/** Why no backend server may take a request. Immutable. */
public record NoBackend(Reason reason, Duration retryAfter) {
  /** What rules every backend server out. */
  public enum Reason {
    /** None that stays and lies in a data centre in service has it. */
    NOT_SERVED,
    /** All that have it are excluded by the query. */
    ALL_EXCLUDED,
    /** All that are left keep failing. */
    CIRCUITS_OPEN
  }
}
