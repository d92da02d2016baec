package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import org.guavagw.internal.limits.RequestClass;

/**
 * Offered load as shares of the engine slots, for unloaded engines. Immutable.
 *
 * @param interactive share of the slots occupied by interactive requests
 * @param longRequests share of the slots occupied by long requests
 */
record LoadLevel(double interactive, double longRequests) {
  static final LoadLevel STEADY = new LoadLevel(0.07, 0.22);
  static final Duration INTERACTIVE_TIMEOUT = Duration.ofSeconds(10);

  static List<String> teams(SimulatedTopology topology) {
    return IntStream.range(0, topology.teams()).mapToObj(i -> "team-" + i).toList();
  }

  /** Returns interactive traffic of all teams, scaled by a factor over time in seconds. */
  PoissonTraffic interactiveTraffic(
      SimulatedTopology topology, EngineModel model, DoubleUnaryOperator factor, double maxFactor) {
    double rate = rate(interactive, RequestClass.INTERACTIVE, topology, model);
    return new PoissonTraffic(
        RequestClass.INTERACTIVE,
        teams(topology),
        t -> rate * factor.applyAsDouble(t),
        rate * maxFactor,
        INTERACTIVE_TIMEOUT);
  }

  /** Returns long requests of all teams, scaled by a factor over time in seconds. */
  PoissonTraffic longTraffic(
      SimulatedTopology topology,
      EngineModel model,
      DoubleUnaryOperator factor,
      double maxFactor,
      Duration callerTimeout) {
    double rate = rate(longRequests, RequestClass.LONG, topology, model);
    return new PoissonTraffic(
        RequestClass.LONG,
        teams(topology),
        t -> rate * factor.applyAsDouble(t),
        rate * maxFactor,
        callerTimeout);
  }

  private static double rate(
      double part, RequestClass requestClass, SimulatedTopology topology, EngineModel model) {
    return part * topology.totalSlots(model) / PoissonTraffic.unloadedSeconds(requestClass, model);
  }
}
