package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.RouteKind;
import org.junit.jupiter.api.Test;

class ShutdownTest {
  private final ManualClock clock = new ManualClock();
  private final Shutdown shutdown = new Shutdown(clock);
  private final Route tenSeconds = Samples.route(RouteKind.STREAM, List.of(), 2);

  @Test
  void shouldTakeEverythingBeforeTheShutdown() {
    assertThat(shutdown.admits(tenSeconds)).isTrue();
  }

  @Test
  void shouldTakeRequestsWhoseCallersCannotKnow() {
    shutdown.begin(Duration.ofSeconds(8));
    clock.advance(Duration.ofSeconds(2));
    assertThat(shutdown.admits(tenSeconds)).isTrue();
  }

  @Test
  void shouldRefuseLaterRequestsThatMayNotEndInTime() {
    shutdown.begin(Duration.ofSeconds(8));
    clock.advance(Duration.ofSeconds(3));
    assertThat(shutdown.admits(tenSeconds)).isFalse();
  }

  @Test
  void shouldTakeLaterRequestsThatEndInTime() {
    shutdown.begin(Duration.ofSeconds(20));
    clock.advance(Duration.ofSeconds(3));
    assertThat(shutdown.admits(tenSeconds)).isTrue();
    clock.advance(Duration.ofSeconds(8));
    assertThat(shutdown.admits(tenSeconds)).isFalse();
  }
}
