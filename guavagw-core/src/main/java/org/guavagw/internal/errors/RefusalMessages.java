package org.guavagw.internal.errors;

import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/**
 * Composes the error messages for callers: what happened, why, and what to do. All messages for
 * refusals are written here. Stateless.
 */
public final class RefusalMessages {
  private RefusalMessages() {}

  /** Returns the message for a refusal. */
  public static String compose(Refusal refusal) {
    return describeRunState(refusal) + ": " + refusal.reason() + ". " + advice(refusal);
  }

  private static String describeRunState(Refusal refusal) {
    return switch (refusal.runState()) {
      case NOT_RUN -> "The request was not run";
      case RAN -> "The request ran, but its answer was lost";
      case UNKNOWN -> "The request may have run";
    };
  }

  private static String advice(Refusal refusal) {
    return refusal
        .retryAfter()
        .map(delay -> "Retry in " + Math.max(1, delay.toSeconds()) + " s.")
        .orElseGet(() -> adviceForCode(refusal.code()));
  }

  private static String adviceForCode(RefusalCode code) {
    return switch (code) {
      case UNAUTHENTICATED -> "Send your team's key as a bearer token.";
      case MALFORMED_REQUEST -> "Correct the request and send it again.";
      case REQUEST_TOO_LARGE -> "Send a smaller request.";
      case VERSION_NOT_SUPPORTED -> "Send the request with HTTP/1.1.";
      case EXPECTATION_FAILED -> "Send the request without Expect, or with 100-continue.";
      case MODEL_NOT_ALLOWED -> "Ask an operator to allow the model for your team.";
      case MODEL_UNKNOWN -> "GET /v1/models lists what your team may use.";
      case SERVICE_UNKNOWN -> "Ask an operator which services your team may call.";
      case VERSION_WITHDRAWN -> "Ask for the model without a version.";
      case BUDGET_SPENT -> "Wait for the next day of UTC, or ask an operator for a larger budget.";
      case TEAM_LIMIT, OVERLOADED, NO_BACKEND, STORE_UNAVAILABLE, SHUTTING_DOWN -> "Retry later.";
      case QUARANTINED -> "Report the request to an operator, or change it or its prompt.";
      case DEADLINE_PASSED -> "Retry with a later deadline.";
      case REPEAT_IN_PROGRESS ->
          "Wait for the first request to finish, then send it again with the same key.";
      case OUTCOME_UNKNOWN -> "Check the outcome before you send the request again with a new key.";
      case KEY_REUSED -> "Use a new idempotency key for a different request.";
      case BACKEND_FAILED, ANSWER_CUT -> "Retry if a second execution does no harm.";
      case INTERNAL -> "Report the request id to an operator.";
    };
  }
}
