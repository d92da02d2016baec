package org.guavagw.internal.http;

import com.google.common.flogger.FluentLogger;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.RunState;

/** Maps errors of the HTTP library and unexpected exceptions to refusals. Stateless. */
final class UnexpectedErrors {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int TOO_LARGE = 413;
  private static final int FIRST_SERVER_ERROR = 500;

  private UnexpectedErrors() {}

  static Refusal toRefusal(Throwable cause, int status) {
    if (status == TOO_LARGE) {
      return Refusal.notRun(RefusalCode.REQUEST_TOO_LARGE, "the body is larger than allowed");
    }
    if (status == NOT_FOUND || status == METHOD_NOT_ALLOWED) {
      return Refusal.notRun(RefusalCode.SERVICE_UNKNOWN, "no route matches this method and path");
    }
    if (status < FIRST_SERVER_ERROR) {
      return Refusal.notRun(RefusalCode.MALFORMED_REQUEST, "the request cannot be read");
    }
    logger.atSevere().withCause(cause).log("unexpected error while handling a request");
    return Refusal.of(
        RefusalCode.INTERNAL, RunState.UNKNOWN, "an unexpected error occurred in the router");
  }
}
