package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeriodicChecksTest {
  private final PeriodicChecks checks = new PeriodicChecks();
  private final List<String> run = new ArrayList<>();

  @Test
  void shouldRunEachCheckUntilItIsOver() {
    checks.add(
        readUntil -> {
          run.add("first");
          return run.size() < 3;
        });

    for (int i = 0; i < 5; i++) {
      checks.run(0);
    }

    assertThat(run).hasSize(3);
  }

  @Test
  void shouldRunACheckThatAnotherOneAddsTheNextTime() {
    checks.add(
        readUntil -> {
          checks.add(r -> !run.add("added"));
          return false;
        });

    checks.run(0);
    assertThat(run).isEmpty();

    checks.run(0);
    assertThat(run).containsExactly("added");
  }

  @Test
  void shouldRunTheOtherChecksIfOneFails() {
    checks.add(
        readUntil -> {
          throw new IllegalStateException("as intended");
        });
    checks.add(readUntil -> run.add("other"));

    assertThatIllegalStateException().isThrownBy(() -> checks.run(0));

    assertThat(run).containsExactly("other");
  }
}
