package org.guavagw.cli.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;
import org.guavagw.internal.limits.RequestClass;

/**
 * Traffic as parts of the slots that it would take in engines that run nothing else. Immutable.
 *
 * @param interactive part of the slots taken by interactive requests
 * @param longs part of the slots taken by long requests
 */
record LoadLevel(double interactive, double longs) {
  static final LoadLevel STEADY = new LoadLevel(0.07, 0.22);
  static final Duration INTERACTIVE_PATIENCE = Duration.ofSeconds(10);

  static List<String> teams(SimLayout layout) {
    return IntStream.range(0, layout.teams()).mapToObj(i -> "team-" + i).toList();
  }

  /** Interactive traffic from all teams, times a factor that may vary with the time in seconds. */
  Traffic interactiveTraffic(
      SimLayout layout, EngineModel model, DoubleUnaryOperator factor, double maxFactor) {
    double rate = rate(interactive, RequestClass.INTERACTIVE, layout, model);
    return new Traffic(
        RequestClass.INTERACTIVE,
        teams(layout),
        t -> rate * factor.applyAsDouble(t),
        rate * maxFactor,
        INTERACTIVE_PATIENCE);
  }

  /** Long traffic from all teams, times a factor that may vary with the time in seconds. */
  Traffic longTraffic(
      SimLayout layout,
      EngineModel model,
      DoubleUnaryOperator factor,
      double maxFactor,
      Duration patience) {
    double rate = rate(longs, RequestClass.LONG, layout, model);
    return new Traffic(
        RequestClass.LONG,
        teams(layout),
        t -> rate * factor.applyAsDouble(t),
        rate * maxFactor,
        patience);
  }

  private static double rate(
      double part, RequestClass requestClass, SimLayout layout, EngineModel model) {
    return part * layout.totalSlots(model) / Traffic.aloneSeconds(requestClass, model);
  }
}
