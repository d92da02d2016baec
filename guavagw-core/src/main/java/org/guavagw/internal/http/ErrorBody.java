package org.guavagw.internal.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.guavagw.Refusal;
import org.guavagw.internal.errors.RefusalMessages;

/** Builds the JSON error body that clients of the chat completion API expect. Stateless. */
final class ErrorBody {
  private static final int FIRST_SERVER_ERROR = 500;

  private ErrorBody() {}

  static ObjectNode of(ObjectMapper json, Refusal refusal, String requestId) {
    ObjectNode root = json.createObjectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", RefusalMessages.compose(refusal));
    error.put("type", typeOf(refusal.code().httpStatus()));
    error.putNull("param");
    error.put("code", refusal.code().wireName());
    error.put("run_state", refusal.runState().wireName());
    error.put("request_id", requestId);
    refusal.retryAfter().ifPresent(wait -> error.put("retry_after_ms", wait.toMillis()));
    return root;
  }

  private static String typeOf(int status) {
    return status >= FIRST_SERVER_ERROR ? "server_error" : "invalid_request_error";
  }
}
