package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SendBudgetTest {
  private static final long PERIOD_NANOS = Duration.ofMillis(50).toNanos();

  private final SendBudget budget = new SendBudget(1000, Duration.ofMillis(50));

  @ParameterizedTest
  @ValueSource(longs = {0, -5_000_000_000L, 5_000_000_000L, Long.MAX_VALUE - 10})
  void shouldBeSpentUntilTheNextPeriod(long start) {
    budget.spend(999, start);
    assertThat(budget.isLeft(start + 1)).isTrue();

    budget.spend(1, start + 1);

    assertThat(budget.isLeft(start + PERIOD_NANOS - 1)).isFalse();
    assertThat(budget.isLeft(start + PERIOD_NANOS)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 7})
  void shouldChargeALongMessageToThePeriodsThatFollow(int periods) {
    budget.spend(1000L * periods, 0);

    assertThat(budget.isLeft(periods * PERIOD_NANOS - 1)).isFalse();
    assertThat(budget.isLeft(periods * PERIOD_NANOS)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 100})
  void shouldNotKeepWhatIsLeft(int periods) {
    budget.spend(1, 0);

    budget.spend(1000, periods * PERIOD_NANOS);

    assertThat(budget.isLeft(periods * PERIOD_NANOS)).isFalse();
  }
}
