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
 * A version regresses hours after its rollout, once for each kind of fault, plus a run without a
 * regression. Stateless and thread-safe.
 */
public final class ServingVersionRegressionScenario implements Scenario {
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
    WorkloadProfile workload = WorkloadProfile.of(deployment);
    VersionRef newVersion = RolloutSetup.version(workload, RolloutSetup.NEW);
    VersionRef oldVersion = RolloutSetup.version(workload, RolloutSetup.OLD);
    PolicyTotals candidate = run(workload, seed, "change-detection", SequentialPolicy::new);
    PolicyTotals hourly =
        run(workload, seed, "hourly-check", d -> new HourlyCheckPolicy(d, newVersion, oldVersion));
    return new ScenarioReport(
        name(),
        List.of(candidate.result(), hourly.result()),
        List.of(candidate.series(), hourly.series()),
        List.of(
            TargetResult.atMost(
                "bad-answers-over-hourly-check",
                MAX_SHARE_OF_BASELINE,
                candidate.badAnswers / Math.max(1, hourly.badAnswers)),
            TargetResult.atMost("false-withdrawals", 0, candidate.falseAlarms)));
  }

  private static PolicyTotals run(
      WorkloadProfile workload,
      long seed,
      String policy,
      Function<SimulatedControlPlane, RolloutPolicy> policyFactory) {
    double faultAt =
        EARLIEST_FAULT_SECONDS
            + FAULT_SPREAD_SECONDS * Math.floorMod(seed * 37, SPREAD_STEPS) / SPREAD_STEPS;
    PolicyTotals totals = new PolicyTotals(policy, faultAt);
    List<BenchRequest> requests = RequestStream.generate(workload, RUN_SECONDS, seed);
    VersionRef newVersion = RolloutSetup.version(workload, RolloutSetup.NEW);
    GatewayConfig config = RolloutSetup.inService(workload);
    for (VersionFaultKind kind : VersionFaultKind.values()) {
      VersionFault fault = kind.faultFor(workload, newVersion, faultAt);
      totals.addBad(
          kind, RolloutSetup.run(config, workload, requests, List.of(fault), seed, policyFactory));
    }
    RolloutTrace good =
        RolloutSetup.run(config, workload, requests, List.of(), seed, policyFactory);
    totals.falseAlarms += good.isStopped() ? 1 : 0;
    return totals;
  }

  /** Totals over the runs of one policy. Not thread-safe. */
  private static final class PolicyTotals {
    private final String policy;
    private final double faultAt;
    private final List<Figure> byKind = new ArrayList<>();
    private final List<double[]> badAnswersOverTime = new ArrayList<>();
    private double badAnswers;
    private double falseAlarms;
    private double missed;

    PolicyTotals(String policy, double faultAt) {
      this.policy = policy;
      this.faultAt = faultAt;
    }

    void addBad(VersionFaultKind kind, RolloutTrace trace) {
      double bad = trace.badAnswersOverTime().stream().filter(p -> p[0] >= faultAt).count();
      badAnswers += bad;
      missed += trace.isStopped() ? 0 : 1;
      falseAlarms += trace.isStopped() && trace.stoppedAt() < faultAt ? 1 : 0;
      byKind.add(new Figure("bad-" + kind.label(), bad, ""));
      byKind.add(new Figure("found-" + kind.label(), trace.stoppedAt() - faultAt, "s"));
      if (kind == VersionFaultKind.WORSE_EVERYWHERE) {
        badAnswersOverTime.addAll(trace.badAnswersOverTime());
      }
    }

    PolicyResult result() {
      List<Figure> figures = new ArrayList<>();
      figures.add(new Figure("bad-answers", badAnswers, ""));
      figures.add(new Figure("bad-versions-missed", missed, ""));
      figures.add(new Figure("false-withdrawals", falseAlarms, ""));
      figures.addAll(byKind);
      return new PolicyResult(policy, figures);
    }

    PlotSeries series() {
      return PlotSeriesFactory.fromPoints(
          policy, "bad answers from the version", badAnswersOverTime);
    }
  }
}
