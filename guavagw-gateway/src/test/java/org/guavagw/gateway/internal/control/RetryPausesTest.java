package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RetryPausesTest {
  private final RetryPauses shortest = new RetryPauses(() -> 0);
  private final RetryPauses longest = new RetryPauses(() -> 1);

  @Test
  void shouldGrowWithTheNumberOfFailures() {
    assertThat(shortest.after(1, false, false)).isLessThan(shortest.after(3, false, false));
    assertThat(shortest.after(3, false, false)).isLessThan(shortest.after(7, false, false));
  }

  @Test
  void shouldSpreadTheRetriesOfEntriesThatFailTogether() {
    assertThat(shortest.after(3, false, false)).isLessThan(longest.after(3, false, false));
    assertThat(shortest.after(1, false, true)).isLessThan(longest.after(1, false, true));
  }

  @Test
  void shouldDetectTheEndOfAnOutageWithinASecondUnlessOthersDo() {
    assertThat(longest.after(100, false, false)).isLessThan(Duration.ofSeconds(1));
    assertThat(shortest.after(1, true, false)).isGreaterThan(Duration.ofSeconds(1));
    assertThat(shortest.after(1, false, true)).isGreaterThan(Duration.ofSeconds(1));
  }
}
