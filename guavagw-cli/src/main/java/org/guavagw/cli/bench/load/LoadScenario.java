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

/** Runs the same traffic and faults with every compared router. Implementations are stateless. */
abstract class LoadScenario implements Scenario {
  @Override
  public final ScenarioReport run(Deployment deployment, long seed) {
    SimulatedTopology topology = SimulatedTopology.of(deployment);
    Map<ComparedRouter, RouterResult> measured = new EnumMap<>(ComparedRouter.class);
    for (ComparedRouter router : ComparedRouter.values()) {
      measured.put(router, measure(topology, EngineModel.DEFAULT, router, seed));
    }
    List<PolicyResult> results = new ArrayList<>();
    List<PlotSeries> series = new ArrayList<>();
    measured.forEach((k, m) -> results.add(new PolicyResult(k.label(), m.figures())));
    measured.forEach((k, m) -> series.add(new PlotSeries(k.label(), axis(), m.x(), m.y())));
    List<TargetResult> targets = measured.get(ComparedRouter.GUAVAGW).targets();
    return new ScenarioReport(name(), results, series, targets);
  }

  /** Returns the label of the y axis. */
  abstract String axis();

  /** Runs the scenario with one router. */
  abstract RouterResult measure(
      SimulatedTopology topology, EngineModel model, ComparedRouter router, long seed);

  /** Results of one router. The arrays are not modified. */
  record RouterResult(List<Figure> figures, List<TargetResult> targets, double[] x, double[] y) {
    RouterResult {
      figures = List.copyOf(figures);
      targets = List.copyOf(targets);
    }
  }
}
