package org.guavagw.internal.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.Usage;

/** Joins the chunks of an answer into one chat completion. Confined to one thread. */
public final class AnswerText {
  private final ObjectMapper json;
  private final StringBuilder text = new StringBuilder();
  private String finishReason = "stop";

  /** Creates an empty answer. */
  public AnswerText(ObjectMapper json) {
    this.json = json;
  }

  /** Adds what a chunk carries. */
  public void add(EngineChunk chunk) {
    if (chunk.end()) {
      return;
    }
    JsonNode choice = read(chunk).path("choices").path(0);
    text.append(choice.path("delta").path("content").asText(""));
    JsonNode reason = choice.path("finish_reason");
    if (reason.isTextual()) {
      finishReason = reason.textValue();
    }
  }

  /** The text so far. */
  public String text() {
    return text.toString();
  }

  /** The whole answer in the shape of a completion that was not streamed. */
  public ObjectNode toCompletion(String requestId, String model, long created, Usage usage) {
    ObjectNode root = json.createObjectNode();
    root.put("id", requestId);
    root.put("object", "chat.completion");
    root.put("created", created);
    root.put("model", model);
    ObjectNode choice = root.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", text());
    choice.put("finish_reason", finishReason);
    choice.putNull("logprobs");
    ObjectNode counts = root.putObject("usage");
    counts.put("prompt_tokens", usage.inputTokens());
    counts.put("completion_tokens", usage.outputTokens());
    counts.put("total_tokens", usage.inputTokens() + usage.outputTokens());
    return root;
  }

  private JsonNode read(EngineChunk chunk) {
    try {
      return json.readTree(chunk.data());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
