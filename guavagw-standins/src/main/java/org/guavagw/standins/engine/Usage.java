package org.guavagw.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Token counts of a request and its answer in the form of the chat completion API. Immutable. */
record Usage(
    @JsonProperty("prompt_tokens") int promptTokens,
    @JsonProperty("completion_tokens") int completionTokens,
    @JsonProperty("total_tokens") int totalTokens) {
  static Usage of(int prompt, int completion) {
    return new Usage(prompt, completion, prompt + completion);
  }
}
