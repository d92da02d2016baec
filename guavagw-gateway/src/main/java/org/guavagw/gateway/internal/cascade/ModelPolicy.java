package org.guavagw.gateway.internal.cascade;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.spi.CallerRequest;

/** Chooses models for requests and says which answers are good enough. Traffic thread only. */
public interface ModelPolicy {
  /** The model for the first attempt; empty where the caller names it. */
  Optional<String> first(Route route, CallerRequest request);

  /**
   * The model to ask instead of passing an answer on, or empty if the answer is good enough.
   *
   * @param confidence the model's own opinion of its answer in percent
   * @param outlook what to expect of an attempt with a model
   */
  Optional<String> instead(
      Route route, String model, OptionalInt confidence, Function<String, Outlook> outlook);
}
