package org.guavagw.internal.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;

/** Parses and validates the body of a chat completion request. Thread-safe. */
public final class ChatRequestParser {
  private static final int DEFAULT_MAX_TOKENS = 256;
  private static final int MAX_TOKENS_LIMIT = 32_768;

  private final ObjectMapper json;

  /** Creates a parser. */
  public ChatRequestParser(ObjectMapper json) {
    this.json = json;
  }

  /** Parses a body; the refusal names the first error. */
  public Either<Refusal, ChatRequest> parse(byte[] body) {
    JsonNode root;
    try {
      root = json.readTree(body);
    } catch (IOException e) {
      return malformed("the body is not JSON");
    }
    if (!(root instanceof ObjectNode object)) {
      return malformed("the body is not a JSON object");
    }
    return check(object);
  }

  private static Either<Refusal, ChatRequest> check(ObjectNode body) {
    String model = body.path("model").asText("");
    if (model.isBlank()) {
      return malformed("\"model\" is missing");
    }
    JsonNode messages = body.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      return malformed("\"messages\" is missing or empty");
    }
    int maxTokens = maxTokens(body);
    if (maxTokens < 1 || maxTokens > MAX_TOKENS_LIMIT) {
      return malformed("\"max_tokens\" is not between 1 and " + MAX_TOKENS_LIMIT);
    }
    boolean stream = body.path("stream").asBoolean(false);
    boolean usage = body.path("stream_options").path("include_usage").asBoolean(false);
    return Either.right(new ChatRequest(body, model, stream, usage, maxTokens, promptOf(messages)));
  }

  private static int maxTokens(ObjectNode body) {
    JsonNode value =
        body.has("max_completion_tokens")
            ? body.get("max_completion_tokens")
            : body.get("max_tokens");
    if (value == null || value.isNull()) {
      return DEFAULT_MAX_TOKENS;
    }
    return value.isInt() ? value.intValue() : 0;
  }

  private static String promptOf(JsonNode messages) {
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : messages) {
      JsonNode content = message.path("content");
      prompt.append(content.isTextual() ? content.textValue() : content.toString()).append('\n');
    }
    return prompt.toString();
  }

  private static Either<Refusal, ChatRequest> malformed(String reason) {
    return Either.left(Refusal.notRun(RefusalCode.MALFORMED_REQUEST, reason));
  }
}
