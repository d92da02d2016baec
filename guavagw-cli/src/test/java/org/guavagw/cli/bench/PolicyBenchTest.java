package org.guavagw.cli.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PolicyBenchTest {
  @Test
  void shouldRefuseAnUnknownDeployment() {
    assertThat(PolicyBench.run("--deployment", "elsewhere")).isEqualTo(2);
  }

  @Test
  void shouldReportTheWorstValueForTheDirectionOfTheTarget() {
    SeededSummary atMost =
        SeededSummary.of(
            List.of(
                report(TargetResult.atMost("t", 1, 0.5)), report(TargetResult.atMost("t", 1, 2))));
    SeededSummary atLeast =
        SeededSummary.of(
            List.of(
                report(TargetResult.atLeast("t", 1, 0.5)),
                report(TargetResult.atLeast("t", 1, 2))));
    assertThat(atMost.targets().get(0).worst()).isEqualTo(2);
    assertThat(atLeast.targets().get(0).worst()).isEqualTo(0.5);
  }

  private static ScenarioReport report(TargetResult target) {
    return new ScenarioReport("s", List.of(), List.of(), List.of(target));
  }
}
