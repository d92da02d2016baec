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
 * Rollouts of bad versions, one for each kind of fault, and of versions as good as the old version.
 * Stateless and thread-safe.
 */
public final class BadRolloutVersionScenario implements Scenario {
  private static final double MAX_SHARE_OF_FIXED_SCHEDULE = 0.2;
  private static final double MAX_FALSE_HOLDS = 0.01;
  private static final int GOOD_ROLLOUTS = 25;
  private static final double BAD_RUN_SECONDS = 4_500;
  private static final double GOOD_RUN_SECONDS = 4 * 3_600;
  private static final long GOOD_SEED_STRIDE = 1_000_003;

  @Override
  public String name() {
    return "bad-version-in-rollout";
  }

  @Override
  public ScenarioReport run(Deployment deployment, long seed) {
    WorkloadProfile workload = WorkloadProfile.of(deployment);
    List<PolicyTotals> allTotals =
        List.of(
            run(workload, seed, "sequential-test", SequentialPolicy::new),
            run(workload, seed, "fixed-schedule", d -> new FixedSchedulePolicy(d, false)),
            run(workload, seed, "fixed-schedule-checked", d -> new FixedSchedulePolicy(d, true)));
    PolicyTotals candidate = allTotals.get(0);
    PolicyTotals fixed = allTotals.get(1);
    return new ScenarioReport(
        name(),
        allTotals.stream().map(PolicyTotals::result).toList(),
        allTotals.stream().map(PolicyTotals::series).toList(),
        List.of(
            TargetResult.atMost(
                "bad-answers-over-fixed-schedule",
                MAX_SHARE_OF_FIXED_SCHEDULE,
                candidate.badAnswers / Math.max(1, fixed.badAnswers)),
            TargetResult.atMost(
                "false-holds-per-good-rollout",
                MAX_FALSE_HOLDS,
                candidate.falseAlarms / GOOD_ROLLOUTS)));
  }

  private static PolicyTotals run(
      WorkloadProfile workload,
      long seed,
      String policy,
      Function<SimulatedControlPlane, RolloutPolicy> policyFactory) {
    PolicyTotals totals = new PolicyTotals(policy);
    List<BenchRequest> requests = RequestStream.generate(workload, BAD_RUN_SECONDS, seed);
    VersionRef newVersion = RolloutSetup.version(workload, RolloutSetup.NEW);
    GatewayConfig config = RolloutSetup.rollingOut(workload);
    for (VersionFaultKind kind : VersionFaultKind.values()) {
      VersionFault fault = kind.faultFor(workload, newVersion, 0);
      totals.addBad(
          kind, RolloutSetup.run(config, workload, requests, List.of(fault), seed, policyFactory));
    }
    for (int i = 1; i <= GOOD_ROLLOUTS; i++) {
      long goodSeed = seed + i * GOOD_SEED_STRIDE;
      List<BenchRequest> other = RequestStream.generate(workload, GOOD_RUN_SECONDS, goodSeed);
      totals.addGood(RolloutSetup.run(config, workload, other, List.of(), goodSeed, policyFactory));
    }
    return totals;
  }

  /** Totals over the rollouts of one policy. Not thread-safe. */
  private static final class PolicyTotals {
    private final String policy;
    private final List<Figure> byKind = new ArrayList<>();
    private final List<double[]> badAnswersOverTime = new ArrayList<>();
    private double badAnswers;
    private double missed;
    private double falseAlarms;
    private double goodFinished;
    private double goodSeconds;

    PolicyTotals(String policy) {
      this.policy = policy;
    }

    void addBad(VersionFaultKind kind, RolloutTrace trace) {
      badAnswers += trace.badAnswersFromWatched();
      missed += trace.isStopped() ? 0 : 1;
      byKind.add(new Figure("bad-" + kind.label(), trace.badAnswersFromWatched(), ""));
      byKind.add(new Figure("stop-" + kind.label(), trace.stoppedAt(), "s"));
      if (kind == VersionFaultKind.WORSE_EVERYWHERE) {
        badAnswersOverTime.addAll(trace.badAnswersOverTime());
      }
    }

    void addGood(RolloutTrace trace) {
      falseAlarms += trace.isStopped() ? 1 : 0;
      goodFinished += trace.isFinished() ? 1 : 0;
      goodSeconds += trace.isFinished() ? trace.finishedAt() : GOOD_RUN_SECONDS;
    }

    PolicyResult result() {
      List<Figure> figures = new ArrayList<>();
      figures.add(new Figure("bad-answers", badAnswers, ""));
      figures.add(new Figure("bad-versions-missed", missed, ""));
      figures.add(new Figure("false-holds", falseAlarms, ""));
      figures.add(new Figure("good-finished", goodFinished / GOOD_ROLLOUTS, ""));
      figures.add(new Figure("good-duration", goodSeconds / GOOD_ROLLOUTS, "s"));
      figures.addAll(byKind);
      return new PolicyResult(policy, figures);
    }

    PlotSeries series() {
      return PlotSeriesFactory.fromPoints(
          policy, "bad answers from the new version", badAnswersOverTime);
    }
  }
}
