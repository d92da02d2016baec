package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.routing.RouteTable;
import org.guavagw.gateway.model.CallerLimits;
import org.guavagw.gateway.model.GatewayConfig;
import org.junit.jupiter.api.Test;

class CurrentControlViewTest {
  private static final Duration MINUTE = Duration.ofMinutes(1);
  private final ManualClock clock = new ManualClock();
  private final CurrentControlView currentView = new CurrentControlView(clock.clocks());

  @Test
  void shouldReportAVeryHighAgeBeforeTheFirstCheck() {
    assertThat(currentView.ordersAge()).isGreaterThan(MINUTE);
  }

  @Test
  void shouldCountTheAgeFromTheLastCheck() {
    currentView.recordOrdersCheck(now());
    clock.advance(Duration.ofSeconds(2));
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(2));
  }

  @Test
  void shouldCountTheTimeInWhichTheVmWasSuspended() {
    currentView.recordOrdersCheck(now());
    clock.stepWall(Duration.ofSeconds(6));
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(6));
  }

  @Test
  void shouldNotReduceTheAgeWhenTheWallClockIsSetBack() {
    currentView.recordOrdersCheck(now());
    clock.advance(Duration.ofSeconds(3));
    clock.stepWall(MINUTE.negated());
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(3));
  }

  @Test
  void shouldIgnoreACheckOlderThanTheLastOne() {
    currentView.recordOrdersCheck(now());
    currentView.recordOrdersCheck(now().plus(Duration.ofSeconds(-1)));
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ZERO);
  }

  @Test
  void shouldCountASuspensionBetweenAQueryAndItsAnswer() {
    ClockReading sentAt = now();
    clock.stepWall(Duration.ofSeconds(6));
    currentView.recordOrdersCheck(sentAt);
    assertThat(currentView.ordersAge()).isEqualTo(Duration.ofSeconds(6));
  }

  @Test
  void shouldNotBeReadyBeforeTheKeysOfTheFirstConfigurationAreKnownToBeCurrent() {
    ControlView complete =
        new ControlView(
            Optional.of(
                new GatewayConfig(1, List.of(), Map.of(), Map.of(), true, CallerLimits.DEFAULT)),
            new RouteTable(List.of()),
            Map.of(),
            Orders.NONE,
            true);
    currentView.publish(complete);
    assertThat(currentView.isReady()).isFalse();

    currentView.recordOrdersCheck(now());
    assertThat(currentView.isReady()).isTrue();
    assertThat(currentView.whenReady()).isCompleted();
  }

  private ClockReading now() {
    return ClockReading.now(clock.clocks());
  }
}
