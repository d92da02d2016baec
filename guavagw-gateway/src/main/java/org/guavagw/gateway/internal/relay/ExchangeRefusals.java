package org.guavagw.gateway.internal.relay;

import io.netty.handler.codec.TooLongFrameException;
import java.time.Duration;
import java.util.Locale;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;
import org.guavagw.gateway.internal.framing.FramingException;
import org.guavagw.gateway.internal.memory.EvictionReason;

/**
 * Composes the refusals of a request.
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

  /** Returns the refusal of a request that the decoder or the check before it could not read. */
  static Refusal unreadable(Throwable cause) {
    return Refusal.notRun(codeOf(cause), "the request cannot be read: " + cause.getMessage());
  }

  private static RefusalCode codeOf(Throwable cause) {
    if (cause instanceof FramingException framing) {
      return framing.fault().code();
    }
    return cause instanceof TooLongFrameException
        ? RefusalCode.REQUEST_TOO_LARGE
        : RefusalCode.MALFORMED_REQUEST;
  }

  static Refusal bodyTooLarge() {
    return Refusal.notRun(RefusalCode.REQUEST_TOO_LARGE, "the body exceeds the size limit");
  }

  static Refusal bodyTooSlow() {
    return Refusal.notRun(
        RefusalCode.OVERLOADED, "the body did not arrive in time", RetryAfterDelays.OTHER_ENTRY);
  }

  static Refusal noMemoryFor(EvictionReason reason) {
    return Refusal.notRun(
        RefusalCode.OVERLOADED,
        "this entry is short of " + reason.name().toLowerCase(Locale.ROOT),
        RetryAfterDelays.OTHER_ENTRY);
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
