package org.guavagw.gateway.internal.relay;

import java.util.Set;
import org.guavagw.gateway.spi.AnswerHead;

/** What the head of an answer says about it. */
enum AnswerVerdict {
  /** Goes to the caller as it is. */
  PASS(AttemptFailure.UNUSABLE),
  /** A signed server error: the caller's answer unless the request may be sent again. */
  SERVER_ERROR(AttemptFailure.SERVER_ERROR),
  /** The backend server did not execute the request. */
  NOT_EXECUTED(AttemptFailure.NOT_EXECUTED),
  /** Not what the backend server meant to answer. */
  UNUSABLE(AttemptFailure.UNUSABLE);

  /**
   * To callers these promise that the request has not run, which the backend server did not say.
   */
  private static final Set<Integer> PROMISES_NOT_RUN = Set.of(408, 421, 429, 503);

  private final AttemptFailure failure;

  AnswerVerdict(AttemptFailure failure) {
    this.failure = failure;
  }

  AttemptFailure failure() {
    return failure;
  }

  static AnswerVerdict of(AnswerHead answer) {
    if (answer.notExecuted()) {
      return NOT_EXECUTED;
    }
    if (answer.encoded() || !answer.signed() || PROMISES_NOT_RUN.contains(answer.status())) {
      return UNUSABLE;
    }
    return answer.status() >= 500 ? SERVER_ERROR : PASS;
  }
}
