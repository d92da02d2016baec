package org.guavagw.gateway.internal.admission;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.guavagw.gateway.internal.peers.DemandReport;
import org.guavagw.gateway.internal.peers.ServiceDemand;
import org.junit.jupiter.api.Test;

class EntryShareTest {
  private static final double MIN_RATIO = 0.3;
  private static final double HEADROOM = 1.1;

  @Test
  void shouldNotLimitWhileNoOtherEntryLacksRoom() {
    ServiceDemand own = new ServiceDemand(90, 50, Map.of("0:a", 300.0));
    ServiceDemand others = new ServiceDemand(6, 0, Map.of("0:b", 6.0));

    assertThat(limit(own, others)).isInfinite();
  }

  @Test
  void shouldGiveATeamThatFloodsOneEntryItsShareAndWhatNobodyElseWants() {
    ServiceDemand flooded = new ServiceDemand(40, 10, Map.of("0:a", 75.0, "0:b", 10.0));
    ServiceDemand other = new ServiceDemand(60, 10, Map.of("0:b", 30.0, "0:c", 10.0));

    assertThat(limit(flooded, other)).isCloseTo((50 + 10) * HEADROOM, within(0.01));
    assertThat(limit(other, flooded)).isCloseTo((30 + 10) * HEADROOM, within(0.01));
  }

  @Test
  void shouldServeTheUrgentRankFirstAndTheOtherAtLeastItsMinimum() {
    ServiceDemand urgent = new ServiceDemand(10, 10, Map.of("0:a", 60.0));
    ServiceDemand less = new ServiceDemand(90, 10, Map.of("5:b", 140.0));

    assertThat(limit(urgent, less)).isCloseTo(60 * HEADROOM, within(0.01));
    assertThat(limit(less, urgent)).isCloseTo(40 * HEADROOM, within(0.01));
  }

  @Test
  void shouldHoldTheLastLimitForATimeWithoutReports() {
    ShareLimit share = new ShareLimit(MIN_RATIO, () -> 0);
    ServiceDemand own = new ServiceDemand(50, 10, Map.of("0:a", 100.0));
    share.update(own, Optional.of(own), 0);
    assertThat(share.allows((int) (50 * HEADROOM))).isFalse();

    share.update(own, Optional.empty(), Duration.ofSeconds(9).toNanos());
    assertThat(share.allows((int) (50 * HEADROOM))).isFalse();

    share.update(own, Optional.empty(), Duration.ofSeconds(11).toNanos());
    assertThat(share.allows(1000)).isTrue();
  }

  @Test
  void shouldLetAnEntryStartItsFirstRequest() {
    ShareLimit share = new ShareLimit(MIN_RATIO, () -> 0);
    ServiceDemand others = new ServiceDemand(50, 10, Map.of("0:a", 100.0));

    share.update(ServiceDemand.NONE, Optional.of(others), 0);

    assertThat(share.allows(0)).isTrue();
    assertThat(share.allows(1)).isFalse();
  }

  @Test
  void shouldCountAReportLessAsItGetsOlder() {
    PeerDemand received = new PeerDemand();
    ServiceDemand demand = new ServiceDemand(10, 4, Map.of("0:a", 20.0));
    received.onReport("e1", new DemandReport("", Map.of("s", demand)), 0);

    double last = 10;
    for (int millis = 0; millis <= 2500; millis += 100) {
      ServiceDemand known =
          received
              .ofEntry("e1", Duration.ofMillis(millis).toNanos())
              .getOrDefault("s", ServiceDemand.NONE);
      assertThat(known.running()).isLessThanOrEqualTo(last);
      last = known.running();
    }

    assertThat(last).isZero();
  }

  private static double limit(ServiceDemand own, ServiceDemand others) {
    return EntryShare.runningLimit(own, others, MIN_RATIO);
  }
}
