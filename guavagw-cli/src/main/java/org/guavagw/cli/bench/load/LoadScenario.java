package org.guavagw.cli.bench.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.bench.Figure;
import org.guavagw.cli.bench.PlotSeries;
import org.guavagw.cli.bench.PolicyResult;
import org.guavagw.cli.bench.Scenario;
import org.guavagw.cli.bench.ScenarioReport;
import org.guavagw.cli.bench.TargetResult;

/** Runs the same traffic and faults with each router. Implementations are stateless. */
abstract class LoadScenario implements Scenario {
  @Override
  public final ScenarioReport run(Deployment deployment, long seed) {
    SimLayout layout = SimLayout.of(deployment);
    Map<RouterKind, Measured> measured = new EnumMap<>(RouterKind.class);
    for (RouterKind kind : RouterKind.values()) {
      measured.put(kind, measure(layout, EngineModel.DEFAULT, kind, seed));
    }
    List<PolicyResult> results = new ArrayList<>();
    List<PlotSeries> series = new ArrayList<>();
    measured.forEach((k, m) -> results.add(new PolicyResult(k.label(), m.figures())));
    measured.forEach((k, m) -> series.add(new PlotSeries(k.label(), axis(), m.x(), m.y())));
    List<TargetResult> targets = measured.get(RouterKind.GUAVAGW).targets();
    return new ScenarioReport(name(), results, series, targets);
  }

  /** What the plot shows. */
  abstract String axis();

  /** Runs one router. */
  abstract Measured measure(SimLayout layout, EngineModel model, RouterKind kind, long seed);

  /** What one router did. The arrays are not changed. */
  record Measured(List<Figure> figures, List<TargetResult> targets, double[] x, double[] y) {
    Measured {
      figures = List.copyOf(figures);
      targets = List.copyOf(targets);
    }
  }
}
