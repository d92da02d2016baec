package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.model.Repeatability;
import org.guavagw.gateway.model.Route;
import org.junit.jupiter.api.Test;

class ShutdownTest {
  private final AtomicLong now = new AtomicLong();
  private final Shutdown shutdown =
      new Shutdown(
          new com.google.common.base.Ticker() {
            @Override
            public long read() {
              return now.get();
            }
          });
  private final Route tenSeconds = Samples.route(Repeatability.STREAM, List.of(), 2);

  @Test
  void shouldTakeEverythingBeforeTheShutdown() {
    assertThat(shutdown.admits(tenSeconds)).isTrue();
  }

  @Test
  void shouldTakeRequestsWhoseCallersCannotKnow() {
    shutdown.begin(Duration.ofSeconds(8));
    now.set(Duration.ofSeconds(2).toNanos());
    assertThat(shutdown.admits(tenSeconds)).isTrue();
  }

  @Test
  void shouldRefuseLaterRequestsThatMayNotEndInTime() {
    shutdown.begin(Duration.ofSeconds(8));
    now.set(Duration.ofSeconds(3).toNanos());
    assertThat(shutdown.admits(tenSeconds)).isFalse();
  }

  @Test
  void shouldTakeLaterRequestsThatEndInTime() {
    shutdown.begin(Duration.ofSeconds(20));
    now.set(Duration.ofSeconds(3).toNanos());
    assertThat(shutdown.admits(tenSeconds)).isTrue();
    now.set(Duration.ofSeconds(11).toNanos());
    assertThat(shutdown.admits(tenSeconds)).isFalse();
  }
}
