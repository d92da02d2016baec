package org.guavagw.standins.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/** A chat completion or a chunk of one in the form of the API. Immutable. */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ChatCompletion(
    String id, String object, long created, String model, List<Choice> choices, Usage usage) {
  private static final String CHUNK = "chat.completion.chunk";
  private static final String ASSISTANT = "assistant";
  private static final String STOP = "stop";

  static ChatCompletion chunk(String id, long created, String model, boolean first, String text) {
    Message delta = new Message(first ? ASSISTANT : null, text);
    return new ChatCompletion(
        id, CHUNK, created, model, List.of(new Choice(0, delta, null, null)), null);
  }

  static ChatCompletion lastChunk(String id, long created, String model) {
    Choice end = new Choice(0, new Message(null, null), null, STOP);
    return new ChatCompletion(id, CHUNK, created, model, List.of(end), null);
  }

  static ChatCompletion usageChunk(String id, long created, String model, Usage usage) {
    return new ChatCompletion(id, CHUNK, created, model, List.of(), usage);
  }

  static ChatCompletion complete(String id, long created, String model, String text, Usage usage) {
    Choice choice = new Choice(0, null, new Message(ASSISTANT, text), STOP);
    return new ChatCompletion(id, "chat.completion", created, model, List.of(choice), usage);
  }

  /** One choice of an answer. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Choice(
      int index,
      Message delta,
      Message message,
      @JsonProperty("finish_reason") String finishReason) {}

  /** A message or a part of a message. */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Message(String role, String content) {}
}
