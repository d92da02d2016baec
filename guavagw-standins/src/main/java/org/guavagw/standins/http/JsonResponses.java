package org.guavagw.standins.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;

/**
 * Writes JSON responses. Jooby flushes only at the end of a read, so later responses are flushed
 * here. Stateless.
 */
public final class JsonResponses {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String JSON_TYPE = "application/json";

  private JsonResponses() {}

  /** Returns a body as JSON text. */
  public static String text(Object body) {
    try {
      return JSON.writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Answers a request with JSON. Must be called on its event loop. */
  public static Context send(Context ctx, int status, Object body) {
    return sendText(ctx, status, JSON_TYPE, text(body));
  }

  /** Answers a request with text of a content type. Must be called on its event loop. */
  public static Context sendText(Context ctx, int status, String type, String body) {
    ctx.setResponseCode(status).setResponseType(type).send(body);
    NettyChannels.of(ctx).flush();
    return ctx;
  }
}
