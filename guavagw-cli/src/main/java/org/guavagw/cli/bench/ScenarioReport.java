package org.guavagw.cli.bench;

import java.util.List;

/** Results of one run of a scenario. Immutable. */
public record ScenarioReport(
    String scenario,
    List<PolicyResult> results,
    List<PlotSeries> series,
    List<TargetResult> targets) {
  public ScenarioReport {
    results = List.copyOf(results);
    series = List.copyOf(series);
    targets = List.copyOf(targets);
  }
}
