package org.guavagw.gateway.model;

import java.util.List;

/**
 * Capacity of the engines of a service. Immutable.
 *
 * @param slots requests that an engine processes in one batch
 * @param cacheTokens tokens of prompts and answers that fit into the memory of an engine
 */
public record EngineSpec(int slots, long cacheTokens, List<ModelSpec> models) {
  public EngineSpec {
    models = List.copyOf(models);
  }
}
