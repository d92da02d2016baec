package org.guavagw.gateway.spi;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller asks for, decoded from the head of its request. Immutable.
 *
 * @param id id of this attempt of the caller
 * @param key key of the caller's team
 * @param waitMillis how long the caller waits, where it says so
 * @param resumeAfter id of the last event that the caller has
 * @param session requests of one session belong together
 * @param prompt shared parts of the prompt in order
 * @param promptTokens tokens of the prompt
 * @param answerTokens most tokens that may be generated
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
