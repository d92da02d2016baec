package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.TargetResult;
import org.guavagw.cli.bench.load.CallerLog.CompletedRequest;
import org.guavagw.internal.limits.RequestClass;

/** Offered load from half to three times the engine capacity; one run per level. */
final class OverloadScenario extends LoadScenario {
  private static final LoadLevel FULL = new LoadLevel(0.20, 0.35);
  private static final double[] FACTORS = {0.5, 1, 1.5, 2, 3};
  private static final int WARM_UP_S = 60;
  private static final int TRAFFIC_END_S = 240;
  private static final int END_S = 400;
  private static final Duration LONG_TIMEOUT = Duration.ofMinutes(2);
  private static final double MIN_GOODPUT_SHARE = 0.9;

  @Override
  public String name() {
    return "load-overload";
  }

  @Override
  String axis() {
    return "tokens of answers in time (1/s) over offered load";
  }

  @Override
  RouterResult measure(
      SimulatedTopology topology, EngineModel model, ComparedRouter router, long seed) {
    double[] goodput = new double[FACTORS.length];
    double servedAtMost = 0;
    for (int i = 0; i < FACTORS.length; i++) {
      CallerLog log = run(topology, model, router, seed, FACTORS[i]);
      goodput[i] = tokensPerSecond(log);
      servedAtMost =
          CallerLog.servedShare(
              log.arrivedBetween(RequestClass.INTERACTIVE, WARM_UP_S, TRAFFIC_END_S));
    }
    double peak = Arrays.stream(goodput).max().orElse(0);
    double share = goodput[FACTORS.length - 1] / peak;
    List<Figure> figures =
        List.of(
            new Figure("peak goodput", peak, "tokens/s"),
            new Figure("goodput at 3x / peak", share, ""),
            new Figure("interactive served at 3x", servedAtMost, ""));
    List<TargetResult> targets =
        List.of(TargetResult.atLeast("goodput at 3x / peak", MIN_GOODPUT_SHARE, share));
    return new RouterResult(figures, targets, FACTORS.clone(), goodput);
  }

  private static CallerLog run(
      SimulatedTopology topology,
      EngineModel model,
      ComparedRouter router,
      long seed,
      double factor) {
    Duration duration = Duration.ofSeconds(END_S);
    LoadSimulation simulation = new LoadSimulation(topology, model, router, seed, duration);
    simulation.add(FULL.interactiveTraffic(topology, model, t -> shape(t, factor), factor), seed);
    simulation.add(
        FULL.longTraffic(topology, model, t -> shape(t, factor), factor, LONG_TIMEOUT), seed + 1);
    simulation.run();
    return simulation.log();
  }

  private static double shape(double seconds, double factor) {
    return seconds < TRAFFIC_END_S ? factor : 0;
  }

  private static double tokensPerSecond(CallerLog log) {
    double tokens = 0;
    for (RequestClass c : RequestClass.values()) {
      tokens +=
          log.arrivedBetween(c, WARM_UP_S, TRAFFIC_END_S).stream()
              .filter(CompletedRequest::inTime)
              .mapToLong(e -> e.request().outputTokens())
              .sum();
    }
    return tokens / (TRAFFIC_END_S - WARM_UP_S);
  }
}
