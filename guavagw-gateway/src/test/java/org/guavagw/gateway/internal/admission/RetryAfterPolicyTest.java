package org.guavagw.gateway.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RetryAfterPolicyTest {
  private static final long LEFT_NANOS = Duration.ofSeconds(3).toNanos();
  private static final double EXCESS_NANOS = Duration.ofMillis(200).toNanos();

  private final RetryAfterPolicy policy = new RetryAfterPolicy(new Random(1)::nextDouble);

  @Test
  void shouldNotExceedWhatCallersWait() {
    for (int i = 0; i < 1000; i++) {
      assertThat(policy.delay(i * EXCESS_NANOS, i, LEFT_NANOS))
          .isBetween(Duration.ofMillis(50), Duration.ofSeconds(1));
    }
  }

  @Test
  void shouldNotTellCallersToReturnBeforeTheirRequestFits() {
    for (int i = 0; i < 1000; i++) {
      assertThat(policy.delay(EXCESS_NANOS, 2, LEFT_NANOS))
          .isGreaterThanOrEqualTo(Duration.ofMillis(200));
    }
  }

  @Test
  void shouldSpreadCallersTheMoreTheLargerTheOverload() {
    assertThat(spread(2)).isGreaterThan(Duration.ofMillis(700));
    assertThat(spread(0)).isBetween(Duration.ofMillis(50), Duration.ofMillis(100));
  }

  private Duration spread(double overload) {
    Duration earliest = Duration.ofDays(1);
    Duration latest = Duration.ZERO;
    for (int i = 0; i < 1000; i++) {
      Duration delay = policy.delay(EXCESS_NANOS, overload, LEFT_NANOS);
      earliest = delay.compareTo(earliest) < 0 ? delay : earliest;
      latest = delay.compareTo(latest) > 0 ? delay : latest;
    }
    return latest.minus(earliest);
  }
}
