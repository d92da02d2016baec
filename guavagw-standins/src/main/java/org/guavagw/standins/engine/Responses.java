package org.guavagw.standins.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import org.guavagw.standins.http.NettyChannels;

/**
 * Writes JSON answers. Jooby flushes only at the end of a read, so that answers which come later
 * are flushed here. Stateless.
 */
final class Responses {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String JSON_TYPE = "application/json";

  private Responses() {}

  static String text(Object body) {
    try {
      return JSON.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  static Context json(Context ctx, int status, Object body) {
    ctx.setResponseCode(status).setResponseType(JSON_TYPE).send(text(body));
    NettyChannels.of(ctx).flush();
    return ctx;
  }

  static Context refuse(Context ctx, EngineRefusal refusal) {
    ctx.setResponseHeader("X-Not-Run", "true");
    return json(ctx, refusal.status(), ErrorBody.of(refusal.code()));
  }
}
