package org.guavagw.gateway.internal.placement;

import java.util.List;
import java.util.Set;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.gateway.spi.PromptPart;

/**
 * The input of a placement decision. Immutable.
 *
 * @param candidates backend servers that are eligible for the request
 * @param excluded incarnations to which the request was already sent
 * @param model model that the request is sent to; empty for plain services
 * @param answerTokens expected tokens of the answer
 */
public record PlacementQuery(
    List<BackendServer> candidates,
    Set<String> excluded,
    String localDataCentre,
    String model,
    List<PromptPart> prompt,
    int promptTokens,
    int answerTokens,
    long nowNanos) {
  /** Creates a query for a request whose answer has no expected length. */
  public PlacementQuery(
      List<BackendServer> candidates,
      Set<String> excluded,
      String localDataCentre,
      String model,
      List<PromptPart> prompt,
      int promptTokens,
      long nowNanos) {
    this(candidates, excluded, localDataCentre, model, prompt, promptTokens, 0, nowNanos);
  }

  /** Returns the memory that the request needs at an engine, in tokens. */
  long tokens() {
    return (long) promptTokens + answerTokens;
  }
}
