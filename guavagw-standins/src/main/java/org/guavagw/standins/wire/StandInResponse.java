package org.guavagw.standins.wire;

import java.nio.charset.StandardCharsets;
import org.guavagw.standins.http.JsonResponses;

/** A response to an HTTP call. The array must not be modified. */
record StandInResponse(int status, String type, byte[] body) {
  private static final String JSON_TYPE = "application/json";

  static StandInResponse json(int status, Object body) {
    return text(status, JSON_TYPE, JsonResponses.text(body));
  }

  static StandInResponse text(int status, String type, String body) {
    return new StandInResponse(status, type, body.getBytes(StandardCharsets.UTF_8));
  }

  static StandInResponse empty(int status) {
    return new StandInResponse(status, JSON_TYPE, new byte[0]);
  }
}
