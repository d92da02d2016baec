package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.internal.rollout.RolloutAction;

/** Records the answers and rollout actions of a watched version. Not thread-safe. */
final class RolloutTrace {
  private final List<double[]> badAnswersOverTime = new ArrayList<>();
  private int requestsOnWatched;
  private int badAnswersFromWatched;
  private double stoppedAt = Double.NaN;
  private double finishedAt = Double.NaN;
  private String stoppedBy = "";

  void served(BenchRequest request, boolean onWatched, SimulatedAnswer answer) {
    if (!onWatched) {
      return;
    }
    requestsOnWatched++;
    if (answer.isBad()) {
      badAnswersFromWatched++;
      badAnswersOverTime.add(new double[] {request.atSeconds(), badAnswersFromWatched});
    }
  }

  void onAction(double atSeconds, RolloutAction action) {
    boolean stops =
        !(action instanceof RolloutAction.EnterStage || action instanceof RolloutAction.Finish);
    if (stops && Double.isNaN(stoppedAt)) {
      stoppedAt = atSeconds;
      stoppedBy = action.toString();
    }
    if (action instanceof RolloutAction.Finish) {
      finishedAt = atSeconds;
    }
  }

  int requestsOnWatched() {
    return requestsOnWatched;
  }

  int badAnswersFromWatched() {
    return badAnswersFromWatched;
  }

  boolean isStopped() {
    return !Double.isNaN(stoppedAt);
  }

  boolean isFinished() {
    return !Double.isNaN(finishedAt);
  }

  double stoppedAt() {
    return stoppedAt;
  }

  double finishedAt() {
    return finishedAt;
  }

  String stoppedBy() {
    return stoppedBy;
  }

  List<double[]> badAnswersOverTime() {
    return badAnswersOverTime;
  }
}
