package org.guavagw.cli.bench.policy;

import java.util.List;
import java.util.stream.IntStream;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.config.CascadeConfig;
import org.guavagw.config.PriceConfig;

/**
 * Task classes, models, prices and request rate of a deployment's traffic. Immutable.
 *
 * @param models ids, cheapest first
 * @param latencyWeight weight of latency in the deployment's cascades
 */
record WorkloadProfile(
    Deployment deployment,
    List<TaskClassProfile> classes,
    List<String> models,
    List<PriceConfig> prices,
    List<Double> secondsPerThousandTokens,
    double requestsPerSecond,
    double latencyWeight) {
  static final int TEAMS = 10;

  private static final List<PriceConfig> PRICES =
      List.of(
          new PriceConfig(100, 400), new PriceConfig(500, 2_000), new PriceConfig(2_500, 10_000));
  private static final List<Double> SPEEDS = List.of(4.0, 10.0, 25.0);

  static WorkloadProfile of(Deployment deployment) {
    return switch (deployment) {
      case NILE_BASIN ->
          new WorkloadProfile(
              deployment,
              List.of(
                  new TaskClassProfile("level-lookup", 0.60, 200, 40, List.of(2.2, 2.8, 3.2), 0.88),
                  new TaskClassProfile(
                      "station-summary", 0.25, 800, 250, List.of(1.0, 2.0, 2.8), 0.85),
                  new TaskClassProfile(
                      "inflow-report", 0.15, 3_000, 1_200, List.of(-0.3, 1.2, 2.6), 0.85)),
              List.of("basin-small", "basin-medium", "basin-large"),
              PRICES,
              SPEEDS,
              2,
              0.05);
      case SWAP_ASSOCIATION ->
          new WorkloadProfile(
              deployment,
              List.of(
                  new TaskClassProfile(
                      "sizing-question", 0.45, 300, 80, List.of(1.8, 2.4, 3.0), 0.87),
                  new TaskClassProfile("garment-tag", 0.35, 250, 20, List.of(2.4, 2.9, 3.2), 0.88),
                  new TaskClassProfile(
                      "condition-report", 0.20, 1_500, 400, List.of(0.4, 1.6, 2.5), 0.85)),
              List.of("desk-small", "desk-medium", "desk-large"),
              PRICES,
              SPEEDS,
              2,
              0.3);
    };
  }

  TaskClassProfile taskClass(String name) {
    return classes.stream().filter(c -> c.name().equals(name)).findFirst().orElseThrow();
  }

  CascadeConfig cascade(TaskClassProfile taskClass) {
    return new CascadeConfig(taskClass.name(), models, taskClass.qualityTarget(), latencyWeight);
  }

  int modelIndex(String model) {
    return IntStream.range(0, models.size())
        .filter(i -> models.get(i).equals(model))
        .findFirst()
        .orElseThrow();
  }
}
