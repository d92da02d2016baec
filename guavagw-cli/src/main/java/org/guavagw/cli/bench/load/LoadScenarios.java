package org.guavagw.cli.bench.load;

import java.util.List;
import org.guavagw.cli.bench.Scenario;

/** The load scenarios, in the order in which they run. */
public final class LoadScenarios {
  private LoadScenarios() {}

  /** Returns all load scenarios. */
  public static List<Scenario> all() {
    return List.of(
        new BurstScenario(),
        new DataCentreScenario(),
        new ColdServersScenario(),
        new FloodScenario(),
        new OverloadScenario());
  }
}
