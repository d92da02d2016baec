package org.guavagw.cli.bench;

import com.google.common.math.Quantiles;
import com.google.common.math.Stats;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reports of one scenario over several seeds, reduced to medians and worst cases. Immutable.
 *
 * @param median median of each measured value over the seeds
 * @param targets median, mean and worst value of each target over the seeds
 */
record SeededSummary(String scenario, List<PolicyResult> median, List<SummarisedTarget> targets) {

  /** Summary of one target over all seeds. Immutable. */
  record SummarisedTarget(
      String target,
      double bound,
      double median,
      double mean,
      double worst,
      int seedsMet,
      int seeds) {}

  static SeededSummary of(List<ScenarioReport> reports) {
    ScenarioReport first = reports.get(0);
    List<PolicyResult> medians = new ArrayList<>();
    for (int p = 0; p < first.results().size(); p++) {
      medians.add(medianOf(reports, p));
    }
    return new SeededSummary(first.scenario(), medians, summariseTargets(reports));
  }

  private static PolicyResult medianOf(List<ScenarioReport> reports, int policy) {
    PolicyResult first = reports.get(0).results().get(policy);
    List<Figure> figures = new ArrayList<>();
    for (int f = 0; f < first.figures().size(); f++) {
      int figure = f;
      Figure named = first.figures().get(f);
      double[] values = values(reports, r -> r.results().get(policy).figures().get(figure).value());
      figures.add(new Figure(named.name(), Quantiles.median().compute(values), named.unit()));
    }
    return new PolicyResult(first.policy(), figures);
  }

  private static List<SummarisedTarget> summariseTargets(List<ScenarioReport> reports) {
    Map<String, List<TargetResult>> byName = new LinkedHashMap<>();
    for (ScenarioReport report : reports) {
      for (TargetResult target : report.targets()) {
        byName.computeIfAbsent(target.target(), t -> new ArrayList<>()).add(target);
      }
    }
    return byName.values().stream().map(SeededSummary::summarise).toList();
  }

  private static SummarisedTarget summarise(List<TargetResult> results) {
    TargetResult first = results.get(0);
    double[] measured = results.stream().mapToDouble(TargetResult::measured).toArray();
    int met = (int) results.stream().filter(TargetResult::met).count();
    double worst = first.measured();
    for (TargetResult result : results) {
      worst = isWorse(result, worst) ? result.measured() : worst;
    }
    return new SummarisedTarget(
        first.target(),
        first.bound(),
        Quantiles.median().compute(measured),
        Stats.meanOf(measured),
        worst,
        met,
        results.size());
  }

  /** Returns whether the result is worse than {@code worst}, given the direction of the target. */
  private static boolean isWorse(TargetResult result, double worst) {
    boolean smallerIsBetter = result.met() == (result.measured() <= result.bound());
    return smallerIsBetter ? result.measured() > worst : result.measured() < worst;
  }

  private static double[] values(
      List<ScenarioReport> reports, Function<ScenarioReport, Double> value) {
    return reports.stream().mapToDouble(value::apply).toArray();
  }
}
