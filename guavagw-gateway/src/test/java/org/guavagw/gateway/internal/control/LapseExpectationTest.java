package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.guavagw.gateway.internal.ManualClock;
import org.junit.jupiter.api.Test;

class LapseExpectationTest {
  private static final Duration STEP = Duration.ofMillis(600);

  private final ManualClock clock = new ManualClock();
  private final LapseExpectation lapses = new LapseExpectation(clock);

  @Test
  void shouldExpectLapsesWhileTheStoreIsAwayAndForAWhileAfter() {
    lapses.onStoreLost();
    clock.advance(Duration.ofMinutes(1));
    assertThat(lapses.isActive()).isTrue();

    lapses.onStoreRecovered(false);
    clock.advance(Duration.ofMillis(2100));
    assertThat(lapses.isActive()).isTrue();
    clock.advance(Duration.ofMillis(200));
    assertThat(lapses.isActive()).isFalse();
  }

  @Test
  void shouldExpectLapsesAfterAGapIfTheHubDoes() {
    assertThat(lapses.onHubAnswer(true, true)).isTrue();
    assertThat(lapses.isActive()).isTrue();
  }

  @Test
  void shouldNotBeginAnewWithEachAnswerOfTheHub() {
    for (int i = 0; i < 5; i++) {
      lapses.onHubAnswer(true, true);
      clock.advance(STEP);
    }

    assertThat(lapses.isActive()).isFalse();
  }

  @Test
  void shouldIgnoreAHubThatOnlyLostTheStoreItself() {
    assertThat(lapses.onHubAnswer(true, false)).isFalse();
    assertThat(lapses.isActive()).isFalse();
  }

  @Test
  void shouldExpectLapsesOfALaterOutage() {
    lapses.onHubAnswer(true, true);
    clock.advance(Duration.ofSeconds(5));
    lapses.onHubAnswer(false, false);

    assertThat(lapses.onHubAnswer(true, true)).isTrue();
    assertThat(lapses.isActive()).isTrue();
  }
}
