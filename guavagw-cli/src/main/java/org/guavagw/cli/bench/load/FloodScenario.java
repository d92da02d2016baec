package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.TargetResult;
import org.guavagw.cli.bench.load.CallerLog.CompletedRequest;
import org.guavagw.internal.limits.RequestClass;

/** One team sends more than the capacity of all engines; the other teams keep a steady load. */
final class FloodScenario extends LoadScenario {
  private static final LoadLevel FLOOD = new LoadLevel(1.5, 0);
  private static final LoadLevel OTHERS = new LoadLevel(0.20, 0.05);
  private static final int FLOOD_START_S = 120;
  private static final int FLOOD_SETTLED_S = 130;
  private static final int FLOOD_END_S = 300;
  private static final int TRAFFIC_END_S = 360;
  private static final int END_S = 900;
  private static final double MIN_JAIN_INDEX = 0.95;

  @Override
  public String name() {
    return "load-flood";
  }

  @Override
  String axis() {
    return "interactive requests served for the other teams (1/s)";
  }

  @Override
  RouterResult measure(
      SimulatedTopology topology, EngineModel model, ComparedRouter router, long seed) {
    Duration duration = Duration.ofSeconds(END_S);
    LoadSimulation simulation = new LoadSimulation(topology, model, router, seed, duration);
    List<String> teams = LoadLevel.teams(topology);
    DoubleUnaryOperator flood = t -> t >= FLOOD_START_S && t < FLOOD_END_S ? 1 : 0;
    DoubleUnaryOperator steady = t -> t < TRAFFIC_END_S ? 1 : 0;
    PoissonTraffic all = OTHERS.interactiveTraffic(topology, model, steady, 1);
    simulation.add(all.withTeams(teams.subList(1, teams.size())), seed);
    PoissonTraffic one = FLOOD.interactiveTraffic(topology, model, flood, 1);
    simulation.add(one.withTeams(teams.subList(0, 1)), seed + 1);
    simulation.add(OTHERS.longTraffic(topology, model, steady, 1, duration), seed + 2);
    simulation.run();
    return measured(simulation.log(), teams);
  }

  private RouterResult measured(CallerLog log, List<String> teams) {
    List<CompletedRequest> during =
        log.arrivedBetween(RequestClass.INTERACTIVE, FLOOD_SETTLED_S, FLOOD_END_S);
    double[] demands = teams.stream().mapToDouble(t -> of(during, t).size()).toArray();
    double[] received =
        teams.stream()
            .mapToDouble(t -> of(during, t).stream().filter(CompletedRequest::inTime).count())
            .toArray();
    double total = Arrays.stream(received).sum();
    double jain = FairShares.jain(received, FairShares.maxMin(demands, total));
    List<CompletedRequest> others = during.stream().filter(e -> !isFlooding(e, teams)).toList();
    List<Figure> figures =
        List.of(
            new Figure("Jain index", jain, ""),
            new Figure("other teams served", CallerLog.servedShare(others), ""),
            new Figure("other teams p99", CallerLog.p99Seconds(others), "s"),
            new Figure("all teams served in time", total, ""));
    List<TargetResult> targets =
        List.of(TargetResult.atLeast("Jain index of teams", MIN_JAIN_INDEX, jain));
    double[] x = TimeSeries.times(TRAFFIC_END_S);
    List<CompletedRequest> plotted =
        log.arrivedBetween(RequestClass.INTERACTIVE, 0, TRAFFIC_END_S).stream()
            .filter(e -> !isFlooding(e, teams))
            .toList();
    return new RouterResult(figures, targets, x, TimeSeries.servedPerSecond(plotted, x));
  }

  private static boolean isFlooding(CompletedRequest completed, List<String> teams) {
    return completed.request().team().equals(teams.get(0));
  }

  private static List<CompletedRequest> of(List<CompletedRequest> requests, String team) {
    return requests.stream().filter(e -> e.request().team().equals(team)).toList();
  }
}
