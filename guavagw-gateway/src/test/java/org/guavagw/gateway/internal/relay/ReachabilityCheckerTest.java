package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;

class ReachabilityCheckerTest {
  private final BackendServer server = Samples.server("s", "dc", "v1");
  private final List<Consumer<Boolean>> checks = new ArrayList<>();
  private final ReachabilityChecker checker =
      new ReachabilityChecker((s, result) -> checks.add(result));

  @Test
  void shouldNotReportUnreachableBeforeTheCheckHasEnded() {
    assertThat(checker.isUnreachable(server, 0)).isFalse();
    assertThat(checker.isUnreachable(server, 1)).isFalse();
    assertThat(checks).hasSize(1);
  }

  @Test
  void shouldReportUnreachableIfNoConnectionCanBeOpened() {
    assertThat(checker.isUnreachable(server, 0)).isFalse();
    checks.get(0).accept(false);
    assertThat(checker.isUnreachable(server, 1)).isTrue();
  }

  @Test
  void shouldReuseASuccessfulCheckForAWhile() {
    assertThat(checker.isUnreachable(server, 0)).isFalse();
    checks.get(0).accept(true);
    assertThat(checker.isUnreachable(server, 1)).isFalse();
    assertThat(checks).hasSize(1);
    assertThat(checker.isUnreachable(server, Duration.ofSeconds(2).toNanos())).isFalse();
    assertThat(checks).hasSize(2);
  }

  @Test
  void shouldNotTakeAServerForUnreachableByAResultOfLongAgo() {
    assertThat(checker.isUnreachable(server, 0)).isFalse();
    checks.get(0).accept(false);

    assertThat(checker.isUnreachable(server, Duration.ofSeconds(10).toNanos())).isFalse();
  }
}
