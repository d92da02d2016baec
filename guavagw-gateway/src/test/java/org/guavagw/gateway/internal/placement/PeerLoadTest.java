package org.guavagw.gateway.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PeerLoadTest {
  private static final double DURATION_MILLIS = 100;

  @Test
  void shouldForgetTheWorkOfEntriesThatNoLongerReport() {
    PeerLoad load = new PeerLoad();
    report(load, 8, 1, 0);
    report(load, 0, 2, PeerWorkReports.MAX_AGE.toNanos());

    assertThat(load.running(DURATION_MILLIS, Duration.ofSeconds(10).toNanos())).isZero();
  }

  @Test
  void shouldExpectTheMeanOnceAReportIsOlderThanItsRequests() {
    PeerLoad load = new PeerLoad();
    report(load, 8, 1, 0);
    report(load, 3, 2, 0);

    assertThat(load.running(DURATION_MILLIS, Duration.ofSeconds(1).toNanos())).isBetween(6.9, 7.1);
  }

  private static void report(PeerLoad load, int running, long version, long nanos) {
    var unused = load.update(running, version, nanos);
  }
}
