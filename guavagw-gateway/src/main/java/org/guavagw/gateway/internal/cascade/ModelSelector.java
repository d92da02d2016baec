package org.guavagw.gateway.internal.cascade;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * Chooses models for requests and decides which answers are accepted. Confined to the traffic
 * thread.
 */
public interface ModelSelector {
  /** Returns the model for the first attempt; empty if the caller specifies it. */
  Optional<String> initialModel(Route route, CallerRequest request);

  /**
   * Returns the stronger model for another attempt that replaces an answer, or empty if the answer
   * is accepted.
   *
   * @param confidence confidence of the model in its answer, in percent
   * @param estimate returns the estimate of an attempt with a given model
   */
  Optional<String> escalationModel(
      Route route,
      String model,
      OptionalInt confidence,
      Function<String, AttemptEstimate> estimate);
}
