package org.guavagw.config;

import java.util.List;
import java.util.stream.IntStream;

/** Builder of a {@link RolloutConfig}. Immutable: each call returns a new draft. */
public record RolloutDraft(RolloutConfig build) {
  /** Sets the model, the old version and the new version. */
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

  /** Sets the percentage of sessions on the new version per stage, increasing to 100. */
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
