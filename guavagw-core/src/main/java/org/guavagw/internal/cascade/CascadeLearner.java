package org.guavagw.internal.cascade;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.guavagw.config.VersionRef;

/** Collects the ratings of cascade answers and recent costs, by task class. Thread-safe. */
final class CascadeLearner {
  private final Map<StepKey, StepEvidence> evidence = new ConcurrentHashMap<>();
  private final Map<String, ClassTraffic> traffic = new ConcurrentHashMap<>();

  void observe(CascadeObservation observation) {
    StepKey key = new StepKey(observation.taskClass(), observation.version());
    evidence.computeIfAbsent(key, k -> new StepEvidence()).add(observation);
  }

  StepModel model(String taskClass, VersionRef version, double priorMean) {
    return evidence
        .computeIfAbsent(new StepKey(taskClass, version), k -> new StepEvidence())
        .model(priorMean);
  }

  long ratingCount(String taskClass, List<VersionRef> versions) {
    long sum = 0;
    for (VersionRef version : versions) {
      StepEvidence steps = evidence.get(new StepKey(taskClass, version));
      sum += steps == null ? 0 : steps.ratingCount();
    }
    return sum;
  }

  ClassTraffic traffic(String taskClass) {
    return traffic.computeIfAbsent(taskClass, c -> new ClassTraffic());
  }

  /** A version on a task class. Immutable. */
  private record StepKey(String taskClass, VersionRef version) {}

  /** Recent step costs and the share of answers that are rated in time. Thread-safe. */
  static final class ClassTraffic {
    private static final int COST_SAMPLES = 16;
    private static final double RATED_DECAY = 1 - 1.0 / 200;
    private static final double INITIAL_RATED_SHARE = 0.5;

    private final List<double[]> costs = new ArrayList<>();
    private long planned;
    private double ratedShare = INITIAL_RATED_SHARE;

    synchronized void onPlanned(double[] stepCosts) {
      if (!costs.isEmpty() && costs.get(0).length != stepCosts.length) {
        costs.clear();
      }
      if (costs.size() < COST_SAMPLES) {
        costs.add(stepCosts);
      } else {
        costs.set((int) (planned % COST_SAMPLES), stepCosts);
      }
      planned++;
    }

    synchronized long plannedCount() {
      return planned;
    }

    synchronized void onJudged(boolean wasRated) {
      ratedShare = ratedShare * RATED_DECAY + (wasRated ? 1 - RATED_DECAY : 0);
    }

    synchronized double ratedShare() {
      return ratedShare;
    }

    synchronized List<double[]> costs(int steps) {
      return costs.stream().filter(c -> c.length == steps).toList();
    }
  }
}
