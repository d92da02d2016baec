package org.guavagw;

import java.time.Duration;
import java.util.Optional;

/**
 * Why a request got no answer, and whether it ran. Immutable.
 *
 * <pre>{@code
 * Refusal refusal = Refusal.notRun(RefusalCode.OVERLOADED, "queue is full", Duration.ofSeconds(2));
 * }</pre>
 *
 * @param reason what happened, for the message that the caller reads
 * @param retryAfter when a new attempt has a chance, if it ever has
 */
public record Refusal(
    RefusalCode code, RunState runState, String reason, Optional<Duration> retryAfter) {

  /** A refusal of a request that no backend server ran and that is not worth repeating as it is. */
  public static Refusal notRun(RefusalCode code, String reason) {
    return new Refusal(code, RunState.NOT_RUN, reason, Optional.empty());
  }

  /** A refusal of a request that no backend server ran and that may be repeated later. */
  public static Refusal notRun(RefusalCode code, String reason, Duration retryAfter) {
    return new Refusal(code, RunState.NOT_RUN, reason, Optional.of(retryAfter));
  }

  /** A failure after the request may have run. */
  public static Refusal after(RefusalCode code, RunState runState, String reason) {
    return new Refusal(code, runState, reason, Optional.empty());
  }

  /** The same refusal of a request that earlier attempts may have run. */
  public Refusal afterEarlier(RunState earlier) {
    return new Refusal(code, runState.join(earlier), reason, retryAfter);
  }
}
