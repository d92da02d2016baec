package org.guavagw.internal.limits;

import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/** Why a request was not admitted, and when a new attempt has a chance. Immutable. */
public record AdmissionRefusal(Reason reason, Duration retryAfter) {
  /** Why a request was not admitted. */
  public enum Reason {
    /** The queue, or the team's part of it, is full. */
    QUEUE_FULL,
    /** The queue drains too slowly for the request's deadline. */
    WOULD_MISS_DEADLINE,
    /** The deadline passed while the request was queued. */
    DEADLINE_PASSED,
    /** A team with a smaller part of the queue took the place. */
    DISPLACED,
    /** The team has as many requests in flight as it may. */
    TEAM_LIMIT,
    /** The queue was closed or the waiting thread was interrupted. */
    CLOSED
  }

  /** The refusal as the caller sees it; the request did not run. */
  public Refusal toRefusal() {
    return switch (reason) {
      case QUEUE_FULL, WOULD_MISS_DEADLINE, DISPLACED ->
          Refusal.notRun(RefusalCode.OVERLOADED, "too many requests are queued", retryAfter);
      case DEADLINE_PASSED ->
          Refusal.notRun(RefusalCode.DEADLINE_PASSED, "deadline passed in the queue", retryAfter);
      case TEAM_LIMIT -> Refusal.notRun(RefusalCode.TEAM_LIMIT, "team is at its limit", retryAfter);
      case CLOSED -> Refusal.notRun(RefusalCode.SHUTTING_DOWN, "entry takes no new work");
    };
  }
}
