package org.guavagw;

/** Stable codes of refused and failed requests. */
public enum RefusalCode {
  UNAUTHENTICATED(401, "invalid_api_key"),
  MALFORMED_REQUEST(400, "malformed_request"),
  REQUEST_TOO_LARGE(413, "request_too_large"),
  VERSION_NOT_SUPPORTED(505, "http_version_not_supported"),
  EXPECTATION_FAILED(417, "expectation_failed"),
  MODEL_NOT_ALLOWED(403, "model_not_allowed"),
  MODEL_UNKNOWN(404, "model_not_found"),
  SERVICE_UNKNOWN(404, "service_not_found"),
  VERSION_WITHDRAWN(409, "version_withdrawn"),
  BUDGET_SPENT(402, "budget_spent"),
  TEAM_LIMIT(429, "team_limit"),
  OVERLOADED(503, "overloaded"),
  NO_BACKEND(503, "no_backend_server"),
  QUARANTINED(503, "quarantined"),
  DEADLINE_PASSED(504, "deadline_passed"),
  STORE_UNAVAILABLE(503, "store_unavailable"),
  REPEAT_IN_PROGRESS(409, "repeat_in_progress"),
  OUTCOME_UNKNOWN(502, "outcome_unknown"),
  KEY_REUSED(422, "idempotency_key_reused"),
  BACKEND_FAILED(502, "backend_failed"),
  ANSWER_CUT(502, "answer_cut"),
  SHUTTING_DOWN(503, "shutting_down"),
  INTERNAL(500, "internal_error");

  private final int httpStatus;
  private final String wireName;

  RefusalCode(int httpStatus, String wireName) {
    this.httpStatus = httpStatus;
    this.wireName = wireName;
  }

  /** Returns the HTTP status for the code. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the stable name that callers see. */
  public String wireName() {
    return wireName;
  }
}
