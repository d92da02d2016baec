package org.guavagw.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import org.guavagw.config.VersionRef;

/** A parsed chat completion request. Immutable. */
record GenerationRequest(
    String requestId,
    Optional<String> idempotencyKey,
    VersionRef version,
    String prompt,
    boolean stream,
    boolean includeUsage,
    int maxTokens,
    int priority,
    Optional<Duration> deadline,
    int resumeOffset) {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int DEFAULT_MAX_TOKENS = 16;

  /** Parses a request; throws {@link IllegalArgumentException} if it is malformed. */
  static GenerationRequest read(Context ctx) {
    JsonNode body = parse(ctx.body().bytes());
    return new GenerationRequest(
        header(ctx, "X-Request-Id").orElseGet(() -> UUID.randomUUID().toString()),
        header(ctx, "Idempotency-Key"),
        VersionRef.parse(body.path("model").asText()),
        prompt(body.path("messages")),
        body.path("stream").asBoolean(),
        body.path("stream_options").path("include_usage").asBoolean(),
        body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
        body.path("priority").asInt(),
        header(ctx, "X-Deadline-Ms").map(Long::parseLong).map(Duration::ofMillis),
        header(ctx, "X-Resume-Offset").map(Integer::parseInt).orElse(0));
  }

  int promptTokens() {
    return 1 + prompt.length() / 4;
  }

  private static JsonNode parse(byte[] body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      throw new IllegalArgumentException("request body is not JSON", e);
    }
  }

  private static String prompt(JsonNode messages) {
    return Prompts.text(messages);
  }

  private static Optional<String> header(Context ctx, String name) {
    return ctx.header(name).toOptional();
  }
}
