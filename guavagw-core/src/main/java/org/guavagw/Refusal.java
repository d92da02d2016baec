package org.guavagw;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a request was refused or failed, and whether a backend server ran it. Immutable.
 *
 * <pre>{@code
 * Refusal refusal = Refusal.notRun(RefusalCode.OVERLOADED, "queue is full", Duration.ofSeconds(2));
 * }</pre>
 *
 * @param reason cause, shown in the message to the caller
 * @param retryAfter time after which a retry may succeed, if there is one
 */
public record Refusal(
    RefusalCode code, RunState runState, String reason, Optional<Duration> retryAfter) {

  /**
   * Returns a refusal of a request that no backend server ran and that should not be retried as is.
   */
  public static Refusal notRun(RefusalCode code, String reason) {
    return new Refusal(code, RunState.NOT_RUN, reason, Optional.empty());
  }

  /** Returns a refusal of a request that no backend server ran and that may be retried later. */
  public static Refusal notRun(RefusalCode code, String reason, Duration retryAfter) {
    return new Refusal(code, RunState.NOT_RUN, reason, Optional.of(retryAfter));
  }

  /** Returns a refusal of a request that a backend server may have run. */
  public static Refusal of(RefusalCode code, RunState runState, String reason) {
    return new Refusal(code, runState, reason, Optional.empty());
  }

  /** Returns the same refusal with its run state joined with that of earlier attempts. */
  public Refusal withEarlierAttempts(RunState earlier) {
    return new Refusal(code, runState.join(earlier), reason, retryAfter);
  }
}
