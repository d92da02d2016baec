package org.guavagw.internal.errors;

import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/**
 * The one place that composes what callers read when they get no answer: what happened, why, and
 * what to do. Stateless.
 */
public final class RefusalMessages {
  private RefusalMessages() {}

  /** The message for a refusal. */
  public static String compose(Refusal refusal) {
    return happened(refusal) + ": " + refusal.reason() + ". " + advice(refusal);
  }

  private static String happened(Refusal refusal) {
    return switch (refusal.runState()) {
      case NOT_RUN -> "The request was not run";
      case RAN -> "The request ran, but its answer was lost";
      case UNKNOWN -> "The request may have run";
    };
  }

  private static String advice(Refusal refusal) {
    return refusal
        .retryAfter()
        .map(wait -> "Repeat it in " + Math.max(1, wait.toSeconds()) + " s.")
        .orElseGet(() -> adviceFor(refusal.code()));
  }

  private static String adviceFor(RefusalCode code) {
    return switch (code) {
      case UNAUTHENTICATED -> "Send your team's key as a bearer token.";
      case MALFORMED_REQUEST -> "Correct the request and send it again.";
      case REQUEST_TOO_LARGE -> "Send a smaller request.";
      case MODEL_NOT_ALLOWED -> "Ask an operator to allow the model for your team.";
      case MODEL_UNKNOWN -> "GET /v1/models lists what your team may use.";
      case SERVICE_UNKNOWN -> "Ask an operator which services your team may call.";
      case VERSION_WITHDRAWN -> "Ask for the model without a version.";
      case BUDGET_SPENT -> "Wait for the next day of UTC, or ask an operator for a larger budget.";
      case TEAM_LIMIT, OVERLOADED, NO_BACKEND, STORE_UNAVAILABLE, SHUTTING_DOWN ->
          "Repeat it later.";
      case DEADLINE_PASSED -> "Allow more time.";
      case REPEAT_IN_PROGRESS -> "Wait for the first attempt to end, then ask with the same key.";
      case OUTCOME_UNKNOWN -> "Check the outcome before you send it under a new key.";
      case KEY_REUSED -> "Use a new idempotency key for a different request.";
      case BACKEND_FAILED, ANSWER_CUT -> "Repeat it if a second execution does no harm.";
      case INTERNAL -> "Report the request id to an operator.";
    };
  }
}
