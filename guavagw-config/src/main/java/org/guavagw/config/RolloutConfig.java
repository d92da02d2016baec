package org.guavagw.config;

import java.util.List;

/**
 * The staged move of a model's traffic from one version to another. Immutable.
 *
 * @param stagesPercent percentage of sessions on the new version per stage, increasing to 100
 * @param stage index of the current stage
 */
public record RolloutConfig(
    String id,
    String model,
    String fromVersion,
    String toVersion,
    List<Integer> stagesPercent,
    int stage,
    RolloutState state) {
  public RolloutConfig {
    stagesPercent = List.copyOf(stagesPercent);
  }

  /** Returns the percentage of sessions that currently use the new version. */
  public int currentPercent() {
    return switch (state) {
      case RUNNING, HELD -> stagesPercent.get(stage);
      case ABORTED -> 0;
      case DONE -> 100;
    };
  }
}
