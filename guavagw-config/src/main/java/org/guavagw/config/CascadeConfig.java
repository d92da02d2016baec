package org.guavagw.config;

import java.util.List;

/**
 * Models from cheap to strong that answer one class of task. Immutable.
 *
 * @param taskClass the name that callers put where a model's name stands
 * @param steps ids of models, cheapest first
 * @param qualityTarget the mean rating, from 0 to 1, that answers have to reach
 * @param latencyWeight how much a second of waiting counts against one unit of cost, from 0 to 1
 */
public record CascadeConfig(
    String taskClass, List<String> steps, double qualityTarget, double latencyWeight) {
  public CascadeConfig {
    steps = List.copyOf(steps);
  }
}
