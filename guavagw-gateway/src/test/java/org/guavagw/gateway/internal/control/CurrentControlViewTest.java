package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.guavagw.gateway.internal.ManualClock;
import org.junit.jupiter.api.Test;

class CurrentControlViewTest {
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private final ManualClock clock = new ManualClock();
  private final CurrentControlView currentView = new CurrentControlView(clock.clocks());

  @Test
  void shouldBeVeryOldBeforeTheFirstCheck() {
    assertThat(currentView.ordersAge()).isGreaterThan(MINUTE);
  }

  @Test
  void shouldAgeFromTheLastCheck() {
    currentView.ordersChecked(now());
    clock.advance(Duration.ofSeconds(2));
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(2));
  }

  @Test
  void shouldAgeWhileTheVmWasSuspended() {
    currentView.ordersChecked(now());
    clock.stepWall(Duration.ofSeconds(6));
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(6));
  }

  @Test
  void shouldNotGrowYoungerWhenTheWallClockIsSetBack() {
    currentView.ordersChecked(now());
    clock.advance(Duration.ofSeconds(3));
    clock.stepWall(MINUTE.negated());
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(3));
  }

  @Test
  void shouldKeepTheNewestCheck() {
    currentView.ordersChecked(now());
    currentView.ordersChecked(now().plus(Duration.ofSeconds(-1)));
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ZERO);
  }

  @Test
  void shouldCountASuspensionBetweenAQuestionAndItsAnswer() {
    ClockReading sent = now();
    clock.stepWall(Duration.ofSeconds(6));
    currentView.ordersChecked(sent);
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(6));
  }

  private ClockReading now() {
    return ClockReading.now(clock.clocks());
  }
}
