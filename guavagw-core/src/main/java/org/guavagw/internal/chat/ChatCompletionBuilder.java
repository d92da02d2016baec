package org.guavagw.internal.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.guavagw.internal.engine.EngineChunk;
import org.guavagw.internal.engine.TokenUsage;

/** Builds one chat completion from the chunks of an answer. Confined to one thread. */
public final class ChatCompletionBuilder {
  private final ObjectMapper json;
  private final StringBuilder text = new StringBuilder();
  private String finishReason = "stop";

  /** Creates a builder without chunks. */
  public ChatCompletionBuilder(ObjectMapper json) {
    this.json = json;
  }

  /** Adds the content of a chunk. */
  public void add(EngineChunk chunk) {
    if (chunk.isEndMarker()) {
      return;
    }
    JsonNode choice = read(chunk).path("choices").path(0);
    text.append(choice.path("delta").path("content").asText(""));
    JsonNode reason = choice.path("finish_reason");
    if (reason.isTextual()) {
      finishReason = reason.textValue();
    }
  }

  /** Returns the text added so far. */
  public String text() {
    return text.toString();
  }

  /** Returns the JSON body of a chat completion that is not streamed. */
  public ObjectNode toCompletion(String requestId, String model, long created, TokenUsage usage) {
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
