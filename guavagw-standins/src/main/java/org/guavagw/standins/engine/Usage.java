package org.guavagw.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Tokens of a request and of its answer, as the chat completion API names them. Immutable. */
record Usage(
    @JsonProperty("prompt_tokens") int promptTokens,
    @JsonProperty("completion_tokens") int completionTokens,
    @JsonProperty("total_tokens") int totalTokens) {
  static Usage of(int prompt, int completion) {
    return new Usage(prompt, completion, prompt + completion);
  }
}
