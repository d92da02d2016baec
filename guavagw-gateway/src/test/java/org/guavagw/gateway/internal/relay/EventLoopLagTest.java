package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.guavagw.gateway.internal.ManualClock;
import org.junit.jupiter.api.Test;

class EventLoopLagTest {
  private final ManualClock clock = new ManualClock();
  private final EventLoopLag lag = new EventLoopLag(clock.read());

  @Test
  void shouldReportNoLagWhileTheTaskRunsInTime() {
    for (int i = 0; i < 20; i++) {
      tickAfter(EventLoopLag.PERIOD);

      assertThat(recent()).isZero();
    }
  }

  @Test
  void shouldCountTheTimeBeforeTheFirstRunOfTheTask() {
    tickAfter(Duration.ofSeconds(4));

    assertThat(recent()).isEqualTo(Duration.ofSeconds(4).minus(EventLoopLag.PERIOD));
  }

  @Test
  void shouldReportAnOverdueTaskBeforeItRuns() {
    tickAfter(EventLoopLag.PERIOD);
    clock.advance(Duration.ofMillis(700));

    assertThat(recent()).isEqualTo(Duration.ofMillis(600));
  }

  @Test
  void shouldRememberALagWhileItsBacklogIsServedAndForgetItAfterwards() {
    tickAfter(Duration.ofSeconds(2));
    tickAfter(EventLoopLag.PERIOD);
    assertThat(recent()).isGreaterThan(Duration.ofSeconds(1));

    for (int i = 0; i < 10; i++) {
      tickAfter(EventLoopLag.PERIOD);
    }
    assertThat(recent()).isZero();
  }

  private void tickAfter(Duration time) {
    clock.advance(time);
    lag.tick(clock.read());
  }

  private Duration recent() {
    return lag.recent(clock.read());
  }
}
