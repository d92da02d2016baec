package org.guavagw.gateway.internal.relay;

import java.util.Set;
import org.guavagw.gateway.spi.AnswerHead;

/** Classifies an answer of a backend server by its head. */
enum AnswerClassification {
  /** Forwarded to the caller. */
  USABLE(AttemptFailure.UNUSABLE),
  /** A signed server error: forwarded to the caller unless the request is retried. */
  SERVER_ERROR(AttemptFailure.SERVER_ERROR),
  /** The backend server did not execute the request. */
  NOT_EXECUTED(AttemptFailure.NOT_EXECUTED),
  /** Not an answer that the backend server intended, for example an unsigned one. */
  UNUSABLE(AttemptFailure.UNUSABLE);

  /**
   * Statuses that callers take as proof that the request was not executed, although the backend
   * server did not say so.
   */
  private static final Set<Integer> STATUSES_MEANING_NOT_RUN = Set.of(408, 421, 429, 503);

  private final AttemptFailure failure;

  AnswerClassification(AttemptFailure failure) {
    this.failure = failure;
  }

  AttemptFailure failure() {
    return failure;
  }

  /**
   * Returns whether an answer to a forwarded request is the refusal of the entry itself, which it
   * gives only to requests that it has not run.
   */
  static boolean isRefusalOfEntry(AnswerHead answer) {
    return !answer.signed() && STATUSES_MEANING_NOT_RUN.contains(answer.status());
  }

  static AnswerClassification of(AnswerHead answer) {
    if (answer.notExecuted()) {
      return NOT_EXECUTED;
    }
    if (answer.encoded()
        || !answer.signed()
        || STATUSES_MEANING_NOT_RUN.contains(answer.status())) {
      return UNUSABLE;
    }
    return answer.status() >= 500 ? SERVER_ERROR : USABLE;
  }
}
