package org.guavagw.internal.limits;

import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/**
 * Reason why a request was not admitted, and the delay after which a retry may succeed. Immutable.
 */
public record AdmissionRefusal(Reason reason, Duration retryAfter) {
  /** Why a request was not admitted. */
  public enum Reason {
    /**
     * The queue is full, and the team has too large a share of it to displace a request of another
     * team.
     */
    QUEUE_FULL,
    /** The queue drains too slowly for the request's deadline. */
    WOULD_MISS_DEADLINE,
    /** The deadline has passed, or too little time is left to run the request. */
    DEADLINE_PASSED,
    /**
     * The request was removed from the full queue in favour of a team with fewer queued requests
     * for its weight.
     */
    DISPLACED,
    /** The team has reached its limit on requests in flight. */
    TEAM_LIMIT,
    /** The queue was closed or the waiting thread was interrupted. */
    CLOSED
  }

  /** Returns the refusal to send to the caller; the request was not executed. */
  public Refusal toRefusal() {
    return switch (reason) {
      case QUEUE_FULL, WOULD_MISS_DEADLINE, DISPLACED ->
          Refusal.notRun(RefusalCode.OVERLOADED, "too many requests are queued", retryAfter);
      case DEADLINE_PASSED ->
          Refusal.notRun(RefusalCode.DEADLINE_PASSED, "deadline passed in the queue", retryAfter);
      case TEAM_LIMIT -> Refusal.notRun(RefusalCode.TEAM_LIMIT, "team is at its limit", retryAfter);
      case CLOSED -> Refusal.notRun(RefusalCode.SHUTTING_DOWN, "entry accepts no new requests");
    };
  }
}
