package org.guavagw.standins.engine;

import io.jooby.Context;
import java.util.Locale;
import org.guavagw.standins.http.JsonResponses;

/** Why an engine refused a request. The request did not run, and the engine says so. */
enum EngineRefusal {
  VERSION_NOT_LOADED(409),
  RESUME_UNKNOWN(409),
  COLD_SLOTS_TAKEN(503),
  QUEUE_FULL(503),
  DRAINING(503),
  DEADLINE_PASSED(503),
  UNAVAILABLE(503);

  private final int status;

  EngineRefusal(int status) {
    this.status = status;
  }

  /** Refuses a request whose answer has not started. */
  Context send(Context ctx) {
    ctx.setResponseHeader("X-Not-Run", "true");
    return JsonResponses.send(ctx, status, ErrorBody.of(code()));
  }

  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
