package org.guavagw.cli.bench.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.guavagw.config.RolloutConfig;
import org.guavagw.config.RolloutState;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.rollout.RolloutAction;
import org.guavagw.internal.rollout.VersionOutcome;

/**
 * Advances the rollout on a fixed schedule. Compares mean ratings at the end of the schedule, or of
 * each stage if configured, and aborts the rollout of a worse version. Not thread-safe.
 */
final class FixedSchedulePolicy implements RolloutPolicy {
  static final double STAGE_SECONDS = 900;

  private static final double WORSE_BY = 0.05;

  private final SimulatedControlPlane controlPlane;
  private final boolean checksEachStage;
  private final Map<VersionRef, double[]> ratings = new HashMap<>();

  FixedSchedulePolicy(SimulatedControlPlane controlPlane, boolean checksEachStage) {
    this.controlPlane = controlPlane;
    this.checksEachStage = checksEachStage;
  }

  @Override
  public void observe(int entry, VersionOutcome outcome) {
    double[] sums = ratings.computeIfAbsent(outcome.version(), v -> new double[2]);
    if (outcome.failed() || outcome.rating().isPresent()) {
      sums[0]++;
      sums[1] += outcome.rating().orElse(0);
    }
  }

  @Override
  public void evaluate(double nowSeconds) {
    RolloutConfig rollout = controlPlane.config().rollouts().get(0);
    if (rollout.state() != RolloutState.RUNNING
        || nowSeconds < STAGE_SECONDS * (rollout.stage() + 1)) {
      return;
    }
    boolean isLastStage = rollout.stage() + 1 == rollout.stagesPercent().size();
    if ((isLastStage || checksEachStage) && isWorse(rollout)) {
      controlPlane.apply(new RolloutAction.Abort(rollout.id(), Optional.empty()));
      return;
    }
    controlPlane.apply(
        isLastStage
            ? new RolloutAction.Finish(rollout.id())
            : new RolloutAction.EnterStage(rollout.id(), rollout.stage() + 1));
  }

  private boolean isWorse(RolloutConfig rollout) {
    double newMean = mean(new VersionRef(rollout.model(), rollout.toVersion()));
    double oldMean = mean(new VersionRef(rollout.model(), rollout.fromVersion()));
    return newMean < oldMean - WORSE_BY;
  }

  private double mean(VersionRef version) {
    double[] sums = ratings.getOrDefault(version, new double[2]);
    return sums[0] > 0 ? sums[1] / sums[0] : 1;
  }
}
