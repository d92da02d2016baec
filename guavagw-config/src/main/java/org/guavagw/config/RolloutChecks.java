package org.guavagw.config;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks rollouts. Stateless. */
final class RolloutChecks {
  private static final int ALL_PERCENT = 100;

  private RolloutChecks() {}

  static void check(GatewayConfig config, FaultCollector faults) {
    List<RolloutConfig> rollouts = config.rollouts();
    faults.requireDistinct("$.rollouts", ".id", rollouts, RolloutConfig::id);
    Set<String> modelsWithActiveRollout = new HashSet<>();
    for (int i = 0; i < rollouts.size(); i++) {
      String path = "$.rollouts[" + i + "]";
      RolloutConfig rollout = rollouts.get(i);
      faults.requireName(path + ".id", rollout.id());
      checkVersions(path, rollout, config.model(rollout.model()), faults);
      checkStages(path, rollout, faults);
      if (isActive(rollout) && !modelsWithActiveRollout.add(rollout.model())) {
        faults.add(
            path + ".state",
            "another rollout of '" + rollout.model() + "' is running or held",
            "finish or abort one of the two first");
      }
    }
  }

  private static boolean isActive(RolloutConfig rollout) {
    return rollout.state() == RolloutState.RUNNING || rollout.state() == RolloutState.HELD;
  }

  private static void checkVersions(
      String path, RolloutConfig rollout, Optional<ModelConfig> model, FaultCollector faults) {
    if (rollout.fromVersion().equals(rollout.toVersion())) {
      faults.add(path + ".toVersion", "is the same as fromVersion", "set the version to move to");
    }
    if (model.isEmpty()) {
      faults.requireKnown(path + ".model", "model", rollout.model(), Set.of());
      return;
    }
    Set<String> known =
        model.get().versions().stream().map(VersionConfig::id).collect(Collectors.toSet());
    faults.requireKnown(path + ".fromVersion", "version", rollout.fromVersion(), known);
    faults.requireKnown(path + ".toVersion", "version", rollout.toVersion(), known);
  }

  private static void checkStages(String path, RolloutConfig rollout, FaultCollector faults) {
    List<Integer> stages = rollout.stagesPercent();
    if (rollout.stage() < 0 || rollout.stage() >= stages.size()) {
      faults.add(
          path + ".stage",
          "is " + rollout.stage() + ", but there are " + stages.size() + " stages",
          "use the index of a stage, starting at 0");
    }
    if (stages.isEmpty() || stages.get(stages.size() - 1) != ALL_PERCENT) {
      faults.add(path + ".stagesPercent", "the last stage is not 100", "set the last stage to 100");
    }
    int previous = 0;
    for (int i = 0; i < stages.size(); i++) {
      if (stages.get(i) <= previous) {
        faults.add(
            path + ".stagesPercent[" + i + "]",
            "is " + stages.get(i) + ", which is not above " + previous,
            "use increasing stages above 0 that end with 100");
      }
      previous = stages.get(i);
    }
  }
}
