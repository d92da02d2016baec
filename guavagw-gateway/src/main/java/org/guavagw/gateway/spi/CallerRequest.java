package org.guavagw.gateway.spi;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The decoded head of a caller's request. Immutable.
 *
 * @param id id of the caller's attempt; a retry by the caller has another id
 * @param key API key of the caller's team
 * @param waitMillis how long the caller waits for the answer, if stated
 * @param resumeAfter id of the last event that the caller received
 * @param session id of the session that the request belongs to
 * @param prompt parts of the prompt, in order
 * @param promptTokens number of prompt tokens
 * @param answerTokens maximum number of tokens to generate
 */
public record CallerRequest(
    String id,
    Optional<String> key,
    OptionalLong waitMillis,
    OptionalLong resumeAfter,
    Optional<String> session,
    List<PromptPart> prompt,
    int promptTokens,
    int answerTokens) {
  public CallerRequest {
    prompt = List.copyOf(prompt);
  }
}
