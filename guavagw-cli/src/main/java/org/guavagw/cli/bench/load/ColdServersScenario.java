package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.load.CallerLog.CompletedRequest;
import org.guavagw.internal.limits.RequestClass;

/** A quarter of the engines restart unexpectedly, and later another quarter. */
final class ColdServersScenario extends LoadScenario {
  private static final LoadLevel LEVEL = new LoadLevel(0.10, 0.20);
  private static final int PARTS = 4;
  private static final int WARM_UP_S = 60;
  private static final int FIRST_RESTART_S = 180;
  private static final int SECOND_RESTART_S = 330;
  private static final int TRAFFIC_END_S = 480;
  private static final int END_S = 1_000;

  @Override
  public String name() {
    return "load-cold-servers";
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
    simulation.add(LEVEL.interactiveTraffic(topology, model, ColdServersScenario::shape, 1), seed);
    simulation.add(
        LEVEL.longTraffic(topology, model, ColdServersScenario::shape, 1, duration), seed + 1);
    simulation.scheduler().at(nanos(FIRST_RESTART_S), () -> restart(simulation, 0));
    simulation.scheduler().at(nanos(SECOND_RESTART_S), () -> restart(simulation, 1));
    simulation.run();
    return measured(simulation);
  }

  private static void restart(LoadSimulation simulation, int part) {
    List<SimulatedEngine> engines = new ArrayList<>(simulation.fleet().engines());
    int count = engines.size() / PARTS;
    engines.subList(part * count, (part + 1) * count).forEach(SimulatedEngine::restart);
  }

  private RouterResult measured(LoadSimulation simulation) {
    CallerLog log = simulation.log();
    List<CompletedRequest> interactive =
        log.arrivedBetween(RequestClass.INTERACTIVE, WARM_UP_S, TRAFFIC_END_S);
    double coldOverloads =
        simulation.fleet().engines().stream().mapToLong(SimulatedEngine::coldOverloads).sum();
    double longShare = CallerLog.servedShare(log.completed(RequestClass.LONG, t -> true));
    List<Figure> figures =
        List.of(
            new Figure("interactive served", CallerLog.servedShare(interactive), ""),
            new Figure("interactive p99", CallerLog.p99Seconds(interactive), "s"),
            new Figure("long completed", longShare, ""),
            new Figure("requests beyond what cold engines bear", coldOverloads, ""));
    double[] x = TimeSeries.times(TRAFFIC_END_S);
    List<CompletedRequest> all = log.arrivedBetween(RequestClass.INTERACTIVE, 0, TRAFFIC_END_S);
    return new RouterResult(figures, List.of(), x, TimeSeries.p99Seconds(all, x));
  }

  private static double shape(double seconds) {
    return seconds < TRAFFIC_END_S ? 1 : 0;
  }

  private static long nanos(int seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }
}
