package org.guavagw.config;

import java.util.List;
import java.util.stream.IntStream;

/** A rollout as it is written. Immutable. */
public record RolloutDraft(RolloutConfig build) {
  /** Names the model and the versions that it moves from and to. */
  public RolloutDraft moving(String model, String fromVersion, String toVersion) {
    return new RolloutDraft(
        new RolloutConfig(
            build.id(),
            model,
            fromVersion,
            toVersion,
            build.stagesPercent(),
            build.stage(),
            build.state()));
  }

  /** Sets the share of sessions on the new version at each stage, rising to 100. */
  public RolloutDraft inStages(int... percent) {
    List<Integer> stages = IntStream.of(percent).boxed().toList();
    return new RolloutDraft(
        new RolloutConfig(
            build.id(),
            build.model(),
            build.fromVersion(),
            build.toVersion(),
            stages,
            build.stage(),
            build.state()));
  }
}
