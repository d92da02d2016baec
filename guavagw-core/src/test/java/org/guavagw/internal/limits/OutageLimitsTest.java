package org.guavagw.internal.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class OutageLimitsTest {
  private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

  @Test
  void shouldBoundRetriesDuringAnOutage() {
    RetryBudget budget = new RetryBudget();
    int sent = 0;
    for (int i = 0; i < 10_000; i++) {
      budget.onFirstAttempt();
      sent++;
      while (budget.tryRetry()) {
        sent++;
      }
    }

    assertThat(sent).isLessThanOrEqualTo(11_010);
  }

  @Test
  void shouldHedgeOnlyIdempotentInteractiveRequests() {
    HedgeBudget budget = new HedgeBudget();

    assertThat(budget.tryHedge(false, RequestClass.INTERACTIVE)).isFalse();
    assertThat(budget.tryHedge(true, RequestClass.LONG)).isFalse();
    assertThat(budget.tryHedge(true, RequestClass.INTERACTIVE)).isTrue();
  }

  @Test
  void shouldAllowOneTrialAfterThePauseAndDoubleThePauseWhenItFails() {
    CircuitBreaker breaker = new CircuitBreaker();
    for (int i = 0; i < 5; i++) {
      breaker.onFinished(AttemptOutcome.Kind.FAILED, 0);
    }
    assertThat(breaker.allows(SECOND_NANOS / 2)).isFalse();

    breaker.onDispatched(SECOND_NANOS);
    assertThat(breaker.allows(SECOND_NANOS)).isFalse();
    breaker.onFinished(AttemptOutcome.Kind.UNREACHABLE, SECOND_NANOS);

    assertThat(breaker.allows(2 * SECOND_NANOS + 1)).isFalse();
    assertThat(breaker.state(3 * SECOND_NANOS)).isEqualTo(CircuitBreaker.State.HALF_OPEN);
    breaker.onFinished(AttemptOutcome.Kind.COMPLETED, 3 * SECOND_NANOS);
    assertThat(breaker.state(3 * SECOND_NANOS)).isEqualTo(CircuitBreaker.State.CLOSED);
  }

  @Test
  void shouldLowerTheLimitWhenAnswersSlowDownAndRaiseItAfterwards() {
    ConcurrencyLimiter limiter = new ConcurrencyLimiter(20, 40);
    answer(limiter, 200, 10_000_000);
    int before = limiter.limit();
    answer(limiter, 50, 100_000_000);
    int slow = limiter.limit();
    answer(limiter, 2_000, 10_000_000);

    assertThat(slow).isLessThan(before / 2);
    assertThat(limiter.limit()).isGreaterThan(slow);
  }

  @Test
  void shouldLimitEachTeamSeparately() {
    TeamLimiter limiter = new TeamLimiter();

    assertThat(limiter.tryAcquire("a", 1)).isTrue();
    assertThat(limiter.tryAcquire("a", 1)).isFalse();
    assertThat(limiter.tryAcquire("b", 1)).isTrue();
    limiter.release("a");
    assertThat(limiter.tryAcquire("a", 1)).isTrue();
  }

  private static void answer(ConcurrencyLimiter limiter, int count, long firstByteNanos) {
    for (int i = 0; i < count; i++) {
      while (limiter.hasCapacity()) {
        limiter.onDispatched();
      }
      limiter.onFinished(AttemptOutcome.completed(firstByteNanos));
    }
  }
}
