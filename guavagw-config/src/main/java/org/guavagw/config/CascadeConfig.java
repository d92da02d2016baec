package org.guavagw.config;

import java.util.List;

/**
 * The models, from the cheapest to the strongest, that answer one class of tasks. Immutable.
 *
 * @param taskClass the name that callers send instead of a model name
 * @param steps ids of models, cheapest first
 * @param qualityTarget the mean rating, from 0 to 1, that answers must reach
 * @param latencyWeight weight of a second of latency relative to one unit of cost, from 0 to 1
 */
public record CascadeConfig(
    String taskClass, List<String> steps, double qualityTarget, double latencyWeight) {
  public CascadeConfig {
    steps = List.copyOf(steps);
  }
}
