package org.guavagw.cli.check;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.guavagw.cli.bench.Deployment;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.internal.entry.EntryHooks;
import org.guavagw.standins.history.Invariant;
import org.guavagw.standins.history.Violation;
import org.junit.jupiter.api.Test;

class HistoryCheckTest {
  private static final int CALLERS = 10;

  @Test
  void shouldKeepAllInvariantsWhenEntriesAreKilledAndReplaced() throws InterruptedException {
    CheckResult result =
        run(
            Deployment.NILE_BASIN,
            1,
            EntryHooks.NONE,
            "entry is killed",
            "service is cut after the run",
            "entry is replaced",
            "stream is reset",
            "entry is replaced");

    assertThat(result.violations()).isEmpty();
  }

  @Test
  void shouldKeepAllInvariantsWhenStoreAndEnginesFailTogether() throws InterruptedException {
    CheckResult result =
        run(
            Deployment.SWAP_ASSOCIATION,
            2,
            EntryHooks.NONE,
            "table service loses answers",
            "answers are crossed",
            "table service is down",
            "answer ends halfway",
            "rating service is down");

    assertThat(result.violations()).isEmpty();
  }

  @Test
  void shouldKeepAllInvariantsDuringOperatorActions() throws InterruptedException {
    CheckResult result =
        run(
            Deployment.NILE_BASIN,
            3,
            EntryHooks.NONE,
            "rollout moves on",
            "data centre goes out and back",
            "version is withdrawn",
            "backend server leaves and returns");

    assertThat(result.violations()).isEmpty();
  }

  @Test
  void shouldDetectMissingIdempotencyClaims() throws InterruptedException {
    CheckResult result =
        run(
            Deployment.NILE_BASIN,
            4,
            Mutations.find("no-claims").orElseThrow(),
            "service is cut after the run",
            "service is cut after the run");

    assertThat(violatedInvariants(result)).contains(Invariant.AT_MOST_ONCE);
  }

  @Test
  void shouldDetectTrafficThatUsesAStaleConfiguration() throws InterruptedException {
    CheckResult result =
        run(
            Deployment.NILE_BASIN,
            5,
            Mutations.find("stale-config").orElseThrow(),
            "data centre goes out and back");

    assertThat(violatedInvariants(result)).contains(Invariant.NO_WORK_FOR_DATA_CENTRE_OUT);
  }

  @Test
  void shouldDetectMissingSessionPins() throws InterruptedException {
    CheckResult result =
        run(Deployment.NILE_BASIN, 6, Mutations.find("no-pins").orElseThrow(), "rollout moves on");

    assertThat(violatedInvariants(result)).contains(Invariant.SESSION_KEEPS_VERSION);
  }

  private static CheckResult run(
      Deployment deployment, long seed, EntryHooks hooks, String... script)
      throws InterruptedException {
    Duration length = Duration.ofSeconds(9);
    DeploymentPlan plan = DeploymentPlan.of(deployment).small();
    CheckSettings settings =
        new CheckSettings(plan, seed, length, CALLERS, 0, hooks, List.of(script));
    return new CheckRunner(settings).run();
  }

  private static Set<Invariant> violatedInvariants(CheckResult result) {
    return result.violations().stream().map(Violation::invariant).collect(Collectors.toSet());
  }
}
