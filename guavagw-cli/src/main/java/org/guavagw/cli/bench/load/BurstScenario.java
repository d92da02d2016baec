package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.TargetResult;
import org.guavagw.cli.bench.load.CallerLog.CompletedRequest;
import org.guavagw.internal.limits.RequestClass;

/** All traffic temporarily rises to four times its steady rate, above the engine capacity. */
final class BurstScenario extends LoadScenario {
  private static final double BURST_FACTOR = 4;
  private static final int BURST_START_S = 300;
  private static final int BURST_END_S = 480;
  private static final int TRAFFIC_END_S = 1_200;
  private static final int END_S = 2_400;
  private static final int WARM_UP_S = 60;
  private static final double MAX_P99_RATIO = 2;

  @Override
  public String name() {
    return "load-burst";
  }

  @Override
  String axis() {
    return "p99 of interactive requests (s)";
  }

  @Override
  RouterResult measure(
      SimulatedTopology topology, EngineModel model, ComparedRouter router, long seed) {
    Duration duration = Duration.ofSeconds(END_S);
    LoadSimulation simulation = new LoadSimulation(topology, model, router, seed, duration);
    DoubleUnaryOperator shape =
        t -> t > TRAFFIC_END_S ? 0 : t >= BURST_START_S && t < BURST_END_S ? BURST_FACTOR : 1;
    LoadLevel level = LoadLevel.STEADY;
    simulation.add(level.interactiveTraffic(topology, model, shape, BURST_FACTOR), seed);
    simulation.add(level.longTraffic(topology, model, shape, BURST_FACTOR, duration), seed + 1);
    simulation.run();
    return measured(simulation.log());
  }

  private RouterResult measured(CallerLog log) {
    List<CompletedRequest> steady = arrived(log, WARM_UP_S, BURST_START_S);
    List<CompletedRequest> burst = arrived(log, BURST_START_S, BURST_END_S);
    List<CompletedRequest> longRequests = log.completed(RequestClass.LONG, t -> true);
    double steadyP99 = CallerLog.p99Seconds(steady);
    double burstP99 = CallerLog.p99Seconds(burst);
    double ratio = burstP99 / steadyP99;
    double longShare = CallerLog.servedShare(longRequests);
    double burstShare = CallerLog.servedShare(burst);
    List<Figure> figures =
        List.of(
            new Figure("steady p99", steadyP99, "s"),
            new Figure("burst p99", burstP99, "s"),
            new Figure("burst p99 / steady p99", ratio, ""),
            new Figure("interactive served in burst", burstShare, ""),
            new Figure("long completed", longShare, ""),
            new Figure("long p99", CallerLog.p99Seconds(longRequests), "s"));
    List<TargetResult> targets =
        List.of(
            TargetResult.atMost("interactive p99 in burst / steady", MAX_P99_RATIO, ratio),
            TargetResult.atLeast("long reports completed", 1, longShare));
    double[] x = TimeSeries.times(TRAFFIC_END_S);
    List<CompletedRequest> all = arrived(log, 0, TRAFFIC_END_S);
    return new RouterResult(figures, targets, x, TimeSeries.p99Seconds(all, x));
  }

  private static List<CompletedRequest> arrived(CallerLog log, int fromSeconds, int toSeconds) {
    return log.arrivedBetween(RequestClass.INTERACTIVE, fromSeconds, toSeconds);
  }
}
