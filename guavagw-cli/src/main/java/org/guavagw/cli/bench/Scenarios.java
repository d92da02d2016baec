package org.guavagw.cli.bench;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.guavagw.cli.bench.load.LoadScenarios;
import org.guavagw.cli.bench.policy.PolicyScenarios;

/** The scenarios of the policy bench, in the order in which they run. */
final class Scenarios {
  private Scenarios() {}

  static List<Scenario> all() {
    return ImmutableList.<Scenario>builder()
        .addAll(PolicyScenarios.all())
        .addAll(LoadScenarios.all())
        .build();
  }
}
