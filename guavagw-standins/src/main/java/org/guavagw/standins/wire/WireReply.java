package org.guavagw.standins.wire;

import java.nio.charset.StandardCharsets;
import org.guavagw.standins.http.JsonResponses;

/** A reply to an HTTP call. The array must not be changed. */
record WireReply(int status, String type, byte[] body) {
  private static final String JSON_TYPE = "application/json";

  static WireReply json(int status, Object body) {
    return text(status, JSON_TYPE, JsonResponses.text(body));
  }

  static WireReply text(int status, String type, String body) {
    return new WireReply(status, type, body.getBytes(StandardCharsets.UTF_8));
  }

  static WireReply empty(int status) {
    return new WireReply(status, JSON_TYPE, new byte[0]);
  }
}
