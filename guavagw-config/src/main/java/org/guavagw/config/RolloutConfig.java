package org.guavagw.config;

import java.util.List;

/**
 * A move of a model's traffic from one version to another, in stages. Immutable.
 *
 * @param stagesPercent share of sessions on the new version at each stage, rising, last 100
 * @param stage index into the stages
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

  /** Share of sessions that the new version gets now, in percent. */
  public int currentPercent() {
    return switch (state) {
      case RUNNING, HELD -> stagesPercent.get(stage);
      case ABORTED -> 0;
      case DONE -> 100;
    };
  }
}
