package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/** Writes refusals as HTTP responses. Stateless. */
final class RefusalWriter {
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final Duration RETRY_AFTER_SHUTDOWN = Duration.ofSeconds(1);

  private RefusalWriter() {}

  static Context send(ObjectMapper json, Context context, Refusal refusal, String requestId) {
    context.setResponseCode(refusal.code().httpStatus());
    context.setResponseType("application/json");
    context.setResponseHeader(Headers.REQUEST_ID, requestId);
    context.setResponseHeader(Headers.RUN_STATE, refusal.runState().wireName());
    refusal
        .retryAfter()
        .ifPresent(w -> context.setResponseHeader("Retry-After", ceilSeconds(w.toMillis())));
    return context.send(ErrorBody.of(json, refusal, requestId).toString());
  }

  static Refusal shuttingDown() {
    return Refusal.notRun(
        RefusalCode.SHUTTING_DOWN, "this entry is shutting down", RETRY_AFTER_SHUTDOWN);
  }

  private static String ceilSeconds(long millis) {
    return Long.toString(Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
  }
}
