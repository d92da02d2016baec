package org.guavagw.gateway.internal.relay;

import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;

/**
 * Composes the refusals of a request that was admitted.
 *
 * <p>Invariant: a refusal says that the request was not run only if that is proven. Stateless.
 */
final class ExchangeRefusals {
  private ExchangeRefusals() {}

  static Refusal noBackendServer(Duration retryAfter) {
    return Refusal.notRun(
        RefusalCode.NO_BACKEND,
        "no backend server of the service can accept the request",
        retryAfter);
  }

  static Refusal turnedAway(Duration retryAfter) {
    return Refusal.notRun(
        RefusalCode.OVERLOADED, "backend servers turned the request away", retryAfter);
  }

  static Refusal quarantined(Duration untilAllowed) {
    return Refusal.notRun(
        RefusalCode.QUARANTINED,
        "backend servers have ended under this request or under others with a part of its prompt",
        untilAllowed);
  }

  static Refusal answerLost(AttemptFailure failure) {
    return Refusal.of(
        RefusalCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, "the answer was lost: " + failure);
  }

  static Refusal failed(AttemptFailure failure) {
    return Refusal.of(
        RefusalCode.BACKEND_FAILED, RunState.UNKNOWN, "the last attempt failed: " + failure);
  }

  static Refusal entryStopping() {
    return Refusal.notRun(
        RefusalCode.SHUTTING_DOWN,
        "this entry is shutting down and cannot finish the request",
        RetryAfterDelays.SHUTTING_DOWN);
  }

  static Refusal deadlinePassed(boolean provenNotRun) {
    return provenNotRun
        ? Refusal.notRun(
            RefusalCode.OVERLOADED,
            "the request could not be sent to a backend server before its deadline",
            RetryAfterDelays.OTHER_ENTRY)
        : Refusal.of(
            RefusalCode.DEADLINE_PASSED,
            RunState.UNKNOWN,
            "the answer was not complete before the deadline");
  }

  /** Returns a refusal without the claim that the request was not run, unless it is proven. */
  static Refusal withProof(Refusal refusal, boolean provenNotRun) {
    return provenNotRun
        ? refusal
        : Refusal.of(
            refusal.code().httpStatus() == 503 ? RefusalCode.BACKEND_FAILED : refusal.code(),
            RunState.UNKNOWN,
            refusal.reason());
  }
}
