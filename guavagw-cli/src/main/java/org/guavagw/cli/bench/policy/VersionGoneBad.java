package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.PlotSeries;
import org.guavagw.cli.bench.PolicyResult;
import org.guavagw.cli.bench.Scenario;
import org.guavagw.cli.bench.ScenarioReport;
import org.guavagw.cli.bench.TargetResult;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.VersionRef;

/**
 * A version in service turns bad hours after its rollout, once for each kind of fault; and a run in
 * which it does not. Stateless and thread-safe.
 */
public final class VersionGoneBad implements Scenario {
  private static final double MAX_SHARE_OF_BASELINE = 0.2;
  private static final double RUN_SECONDS = 5 * 3_600;
  private static final double EARLIEST_FAULT_SECONDS = 7_200;
  private static final double FAULT_SPREAD_SECONDS = 3_600;
  private static final int SPREAD_STEPS = 60;

  @Override
  public String name() {
    return "version-gone-bad";
  }

  @Override
  public ScenarioReport run(Deployment deployment, long seed) {
    Workload workload = Workload.of(deployment);
    VersionRef fresh = RolloutSetup.version(workload, RolloutSetup.NEW);
    VersionRef old = RolloutSetup.version(workload, RolloutSetup.OLD);
    Outcome ours = run(workload, seed, "change-detection", SequentialPolicy::new);
    Outcome hourly = run(workload, seed, "hourly-check", d -> new HourlyCheckPolicy(d, fresh, old));
    return new ScenarioReport(
        name(),
        List.of(ours.result(), hourly.result()),
        List.of(ours.series(), hourly.series()),
        List.of(
            TargetResult.atMost(
                "bad-answers-over-hourly-check",
                MAX_SHARE_OF_BASELINE,
                ours.badAnswers / Math.max(1, hourly.badAnswers)),
            TargetResult.atMost("false-withdrawals", 0, ours.falseStops)));
  }

  private static Outcome run(
      Workload workload, long seed, String policy, Function<ControlDesk, RolloutPolicy> newPolicy) {
    double faultAt =
        EARLIEST_FAULT_SECONDS
            + FAULT_SPREAD_SECONDS * Math.floorMod(seed * 37, SPREAD_STEPS) / SPREAD_STEPS;
    Outcome outcome = new Outcome(policy, faultAt);
    List<BenchRequest> requests = RequestStream.generate(workload, RUN_SECONDS, seed);
    VersionRef fresh = RolloutSetup.version(workload, RolloutSetup.NEW);
    GatewayConfig config = RolloutSetup.inService(workload);
    for (FaultKind kind : FaultKind.values()) {
      VersionFault fault = kind.of(workload, fresh, faultAt);
      outcome.addBad(
          kind, RolloutSetup.run(config, workload, requests, List.of(fault), seed, newPolicy));
    }
    RolloutTrace good = RolloutSetup.run(config, workload, requests, List.of(), seed, newPolicy);
    outcome.falseStops += good.isStopped() ? 1 : 0;
    return outcome;
  }

  /** Sums over the runs of one policy. Not thread-safe. */
  private static final class Outcome {
    private final String policy;
    private final double faultAt;
    private final List<Figure> byKind = new ArrayList<>();
    private final List<double[]> badOverTime = new ArrayList<>();
    private double badAnswers;
    private double falseStops;
    private double missed;

    Outcome(String policy, double faultAt) {
      this.policy = policy;
      this.faultAt = faultAt;
    }

    void addBad(FaultKind kind, RolloutTrace trace) {
      double bad = trace.badOverTime().stream().filter(p -> p[0] >= faultAt).count();
      badAnswers += bad;
      missed += trace.isStopped() ? 0 : 1;
      falseStops += trace.isStopped() && trace.stoppedAt() < faultAt ? 1 : 0;
      byKind.add(new Figure("bad-" + kind.label(), bad, ""));
      byKind.add(new Figure("found-" + kind.label(), trace.stoppedAt() - faultAt, "s"));
      if (kind == FaultKind.WORSE_EVERYWHERE) {
        badOverTime.addAll(trace.badOverTime());
      }
    }

    PolicyResult result() {
      List<Figure> figures = new ArrayList<>();
      figures.add(new Figure("bad-answers", badAnswers, ""));
      figures.add(new Figure("bad-versions-missed", missed, ""));
      figures.add(new Figure("false-withdrawals", falseStops, ""));
      figures.addAll(byKind);
      return new PolicyResult(policy, figures);
    }

    PlotSeries series() {
      return SeriesOf.points(policy, "bad answers from the version", badOverTime);
    }
  }
}
