package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.PlotSeries;
import org.guavagw.cli.bench.PolicyResult;

/** Totals over the requests that a policy served. Not thread-safe. */
final class ServingTotals {
  private static final double PLOT_SECONDS = 600;
  private static final int LATENCY_DIGITS = 3;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double HIGH_PERCENTILE = 95;

  private final String policy;
  private final Histogram latencyMillis = new Histogram(LATENCY_DIGITS);
  private final Map<TaskClassProfile, double[]> qualityByClass = new HashMap<>();
  private final List<double[]> costOverTime = new ArrayList<>();
  private double quality;
  private double cost;
  private double calls;
  private double requests;

  private ServingTotals(String policy) {
    this.policy = policy;
  }

  static ServingTotals of(String name, ServingPolicy policy, List<BenchRequest> requests) {
    ServingTotals totals = new ServingTotals(name);
    for (BenchRequest request : requests) {
      totals.add(request, policy.serve(request));
    }
    return totals;
  }

  private void add(BenchRequest request, ServingResult result) {
    quality += result.quality();
    cost += result.costMicros();
    calls += result.calls();
    requests++;
    latencyMillis.recordValue((long) (result.latencySeconds() * MILLIS_PER_SECOND));
    double[] sums = qualityByClass.computeIfAbsent(request.taskClass(), c -> new double[2]);
    sums[0]++;
    sums[1] += result.quality();
    if (request.atSeconds() >= PLOT_SECONDS * (costOverTime.size() + 1)) {
      costOverTime.add(new double[] {request.atSeconds(), cost});
    }
  }

  double cost() {
    return cost;
  }

  /** Returns the largest shortfall of a task class's mean rating below its target. */
  double worstShortfall() {
    return qualityByClass.entrySet().stream()
        .mapToDouble(e -> e.getKey().qualityTarget() - e.getValue()[1] / e.getValue()[0])
        .max()
        .orElse(0);
  }

  PolicyResult result() {
    return new PolicyResult(
        policy,
        List.of(
            new Figure("quality", quality / requests, ""),
            new Figure("worst-shortfall", worstShortfall(), ""),
            new Figure("cost", cost / requests, "micros"),
            new Figure("calls", calls / requests, ""),
            new Figure("latency-mean", latencyMillis.getMean(), "ms"),
            new Figure("latency-p95", latencyMillis.getValueAtPercentile(HIGH_PERCENTILE), "ms")));
  }

  PlotSeries series() {
    return PlotSeriesFactory.fromPoints(policy, "cost (micros)", costOverTime);
  }
}
