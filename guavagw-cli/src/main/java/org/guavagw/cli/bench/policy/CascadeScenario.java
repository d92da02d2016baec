package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.bench.PolicyResult;
import org.guavagw.cli.bench.Scenario;
import org.guavagw.cli.bench.ScenarioReport;
import org.guavagw.cli.bench.TargetResult;

/** One day of cascades with a given availability of ratings. Immutable and thread-safe. */
public final class CascadeScenario implements Scenario {
  private static final double DAY_SECONDS = 86_400;
  private static final double MAX_COST_OVER_STRONGEST = 0.5;
  private static final double MAX_COST_OVER_ORACLE = 1.1;
  private static final double OUTAGE_FROM_SECONDS = 6 * 3_600;
  private static final double OUTAGE_TO_SECONDS = 14 * 3_600;

  private final String name;
  private final RatingAvailability ratings;

  private CascadeScenario(String name, RatingAvailability ratings) {
    this.name = name;
    this.ratings = ratings;
  }

  /** Returns the scenario in which 80% of the answers are rated in time. */
  public static Scenario steadyDay() {
    return new CascadeScenario("steady-day", RatingAvailability.STEADY);
  }

  /** Returns the scenario in which 40% of the answers are rated in time, with an 8 hour outage. */
  public static Scenario ratingsMissing() {
    return new CascadeScenario(
        "ratings-missing",
        new RatingAvailability(0.4, 0.2, 60, OUTAGE_FROM_SECONDS, OUTAGE_TO_SECONDS));
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public ScenarioReport run(Deployment deployment, long seed) {
    WorkloadProfile workload = WorkloadProfile.of(deployment);
    List<BenchRequest> requests = RequestStream.generate(workload, DAY_SECONDS, seed);
    ModelAnswers answers =
        new ModelAnswers(
            workload, new AnswerSimulator(workload, ratings, List.of(), seed), requests);
    Oracle oracle = new Oracle(answers, requests);
    int last = answers.models() - 1;
    ServingTotals candidate =
        ServingTotals.of("planner", new PlannerPolicy(answers, ratings, false, seed), requests);
    ServingTotals strongest =
        ServingTotals.of(
            "always-strongest", BaselineServingPolicies.always(answers, last), requests);
    ServingTotals passing = ServingTotals.of("oracle", oracle.cheapestPassing(), requests);
    ServingTotals bound = ServingTotals.of("oracle-lower-bound", oracle.lowerBound(), requests);
    List<ServingTotals> totals = new ArrayList<>();
    totals.add(candidate);
    totals.add(
        ServingTotals.of(
            "planner-with-signals", new PlannerPolicy(answers, ratings, true, seed), requests));
    totals.add(strongest);
    totals.add(
        ServingTotals.of("always-cheapest", BaselineServingPolicies.always(answers, 0), requests));
    totals.add(
        ServingTotals.of("fixed-cascade", BaselineServingPolicies.fixedCascade(answers), requests));
    totals.add(ServingTotals.of("random", BaselineServingPolicies.random(answers, seed), requests));
    totals.add(passing);
    totals.add(bound);
    List<PolicyResult> results = totals.stream().map(ServingTotals::result).toList();
    return new ScenarioReport(
        name,
        results,
        totals.stream().map(ServingTotals::series).toList(),
        List.of(
            TargetResult.atMost("quality-shortfall", 0, candidate.worstShortfall()),
            TargetResult.atMost(
                "cost-over-strongest",
                MAX_COST_OVER_STRONGEST,
                candidate.cost() / strongest.cost()),
            TargetResult.atMost(
                "cost-over-oracle", MAX_COST_OVER_ORACLE, candidate.cost() / passing.cost()),
            TargetResult.atMost(
                "cost-over-oracle-lower-bound",
                MAX_COST_OVER_ORACLE,
                candidate.cost() / bound.cost())));
  }
}
