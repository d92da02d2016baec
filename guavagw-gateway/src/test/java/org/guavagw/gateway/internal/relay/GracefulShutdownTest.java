package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.api.Test;

class GracefulShutdownTest {
  private final ManualClock clock = new ManualClock();
  private final GracefulShutdown shutdown = new GracefulShutdown(clock);
  private final Route tenSecondRoute = Samples.route(RouteKind.STREAM, List.of(), 2);

  @Test
  void shouldAdmitAllRequestsBeforeTheShutdown() {
    assertThat(shutdown.admits(tenSecondRoute)).isTrue();
  }

  @Test
  void shouldAdmitAllRequestsWithinTheNoticePeriod() {
    shutdown.begin(Duration.ofSeconds(8));
    clock.advance(Duration.ofSeconds(2));
    assertThat(shutdown.admits(tenSecondRoute)).isTrue();
  }

  @Test
  void shouldRefuseLaterRequestsThatMayNotEndInTime() {
    shutdown.begin(Duration.ofSeconds(8));
    clock.advance(Duration.ofSeconds(3));
    assertThat(shutdown.admits(tenSecondRoute)).isFalse();
  }

  @Test
  void shouldAdmitLaterRequestsThatEndInTime() {
    shutdown.begin(Duration.ofSeconds(20));
    clock.advance(Duration.ofSeconds(3));
    assertThat(shutdown.admits(tenSecondRoute)).isTrue();
    clock.advance(Duration.ofSeconds(8));
    assertThat(shutdown.admits(tenSecondRoute)).isFalse();
  }

  @Test
  void shouldAdmitNothingOnceTheRestIsBeingAnswered() {
    shutdown.begin(Duration.ofSeconds(20));
    shutdown.end();

    assertThat(shutdown.admits(tenSecondRoute)).isFalse();
  }
}
