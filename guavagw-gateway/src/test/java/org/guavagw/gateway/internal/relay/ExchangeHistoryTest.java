package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.guavagw.gateway.internal.limits.RetryBudget;
import org.guavagw.gateway.internal.placement.LoadTracker;

/** Checks random histories of what becomes of the attempts of one request. */
class ExchangeHistoryTest {
  private static final int MAX_ATTEMPTS = 3;

  @Property
  void shouldLeaveTheActiveStateOnce(@ForAll @Size(max = 20) List<Boolean> forwards) {
    ExchangeLifecycle lifecycle = new ExchangeLifecycle();
    int left = 0;
    for (boolean forward : forwards) {
      boolean active = lifecycle.isActive();
      boolean first = forward ? lifecycle.tryForward() : lifecycle.tryEnd();
      assertThat(first).isEqualTo(active);
      left += first ? 1 : 0;
    }

    assertThat(left).isEqualTo(forwards.isEmpty() ? 0 : 1);
  }

  @Property
  void shouldSendARequestThatMayRunOnceOnlyWhileItIsProvenNotToHaveRun(
      @ForAll @Size(max = 30) List<@IntRange(max = 10) Integer> choices) {
    RetryBudget budget = new RetryBudget(1, () -> 1000, Duration.ofSeconds(10), 0);
    AttemptCounts counts = new AttemptCounts(false, MAX_ATTEMPTS, 0, budget);
    AttemptFailure[] failures = AttemptFailure.values();
    boolean mayHaveRun = false;
    for (int choice : choices) {
      AttemptFailure failure = failures[choice % failures.length];
      AttemptProgress attempt = attempt();
      counts.onFailed(attempt, failure);
      mayHaveRun |= failure.mayHaveRun();
      if (failure.connectionLost() && choice % 2 == 0) {
        counts.onServerEnded(attempt);
      }

      boolean again = counts.tryRetryAfter(failure, 0);

      assertThat(counts.provenNotRun()).isEqualTo(!mayHaveRun);
      assertThat(again && mayHaveRun).isFalse();
      assertThat(counts.allowsAnother() && mayHaveRun).isFalse();
    }
  }

  private static AttemptProgress attempt() {
    LoadTracker unused = null;
    return new AttemptProgress(unused, null, null, 0, true, 0);
  }
}
