package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/** Sends refusals to callers. Stateless. */
final class Refusals {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final Duration RETRY_AFTER_SHUTDOWN = Duration.ofSeconds(1);

  private Refusals() {}

  static Context send(ObjectMapper json, Context context, Refusal refusal, String requestId) {
    context.setResponseCode(refusal.code().httpStatus());
    context.setResponseType("application/json");
    context.setResponseHeader(Headers.REQUEST_ID, requestId);
    context.setResponseHeader(Headers.RUN_STATE, refusal.runState().wireName());
    refusal
        .retryAfter()
        .ifPresent(w -> context.setResponseHeader("Retry-After", secondsUp(w.toMillis())));
    return context.send(ErrorBody.of(json, refusal, requestId).toString());
  }

  static Refusal shuttingDown() {
    return Refusal.notRun(
        RefusalCode.SHUTTING_DOWN, "this entry is about to stop", RETRY_AFTER_SHUTDOWN);
  }

  private static String secondsUp(long millis) {
    return Long.toString(Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
  }
}
