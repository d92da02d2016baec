package org.guavagw.cli.bench.policy;

import java.util.List;
import org.guavagw.cli.bench.Scenario;

/** The scenarios of this package. */
public final class PolicyScenarios {
  private PolicyScenarios() {}

  /** All of them, in the order in which they run. */
  public static List<Scenario> all() {
    return List.of(
        CascadeScenario.steadyDay(),
        CascadeScenario.ratingsMissing(),
        new BadVersionInRollout(),
        new VersionGoneBad());
  }
}
