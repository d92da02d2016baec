package org.guavagw.gateway.internal.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ColdStartLimiterTest {
  private static final long SECOND = Duration.ofSeconds(1).toNanos();
  private static final double TOLERATED_PER_SECOND = 12;

  @Test
  void shouldLimitTheRequestRateToAColdServer() {
    ColdStartLimiter limiter = new ColdStartLimiter(s -> 2);
    BackendServer cold = Samples.server("s", "dc", "v1", 3 * SECOND);
    limiter.onSent(cold, 0);
    assertThat(limiter.allows(cold, SECOND / 4)).isFalse();
    assertThat(limiter.allows(cold, SECOND / 2)).isTrue();
  }

  @Test
  void shouldNotLimitRequestsToAWarmServer() {
    ColdStartLimiter limiter = new ColdStartLimiter(s -> 1);
    BackendServer warm = Samples.server("s", "dc", "v1", 0);
    limiter.onSent(warm, SECOND);
    assertThat(limiter.allows(warm, SECOND)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 7, 8, 78, 350})
  void shouldKeepTheRateOfAllEntriesWithinTheToleratedRate(int entries) {
    BackendServer cold = Samples.server("s", "dc", "v1", 10 * SECOND);
    int sent = 0;
    for (int entry = 0; entry < entries; entry++) {
      Members members = members("entry-" + entry, entries);
      double share = members.coldShare(cold.id(), "dc", TOLERATED_PER_SECOND);
      ColdStartLimiter limiter = new ColdStartLimiter(s -> share);
      for (long now = 0; now < SECOND; now += SECOND / 1000) {
        if (limiter.allows(cold, now)) {
          limiter.onSent(cold, now);
          sent++;
        }
      }
    }
    assertThat(sent).isPositive();
    assertThat(sent).isLessThanOrEqualTo((int) (TOLERATED_PER_SECOND * 1.5 + 5));
  }

  private static Members members(String self, int entries) {
    return new Members(
        self,
        IntStream.range(0, entries)
            .mapToObj(i -> new Member("entry-" + i, "dc", "127.0.0.1", 1))
            .toList());
  }
}
