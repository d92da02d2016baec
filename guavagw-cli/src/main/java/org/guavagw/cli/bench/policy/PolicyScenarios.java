package org.guavagw.cli.bench.policy;

import java.util.List;
import org.guavagw.cli.bench.Scenario;

/** The policy scenarios. */
public final class PolicyScenarios {
  private PolicyScenarios() {}

  /** Returns the policy scenarios in the order in which they run. */
  public static List<Scenario> all() {
    return List.of(
        CascadeScenario.steadyDay(),
        CascadeScenario.ratingsMissing(),
        new BadRolloutVersionScenario(),
        new ServingVersionRegressionScenario());
  }
}
