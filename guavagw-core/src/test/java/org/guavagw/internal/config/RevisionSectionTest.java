package org.guavagw.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.base.Ticker;
import java.time.Duration;
import org.guavagw.config.GatewayConfig;
import org.guavagw.internal.membership.GossipLink;
import org.junit.jupiter.api.Test;

class RevisionSectionTest {
  private static final GossipLink LINK = new GossipLink("esna-barr-1", true);

  @Test
  void shouldNotTakeTheConfirmationOfAHigherRevisionForItsOwn() {
    ConfirmationClock clock = new ConfirmationClock(Ticker.systemTicker());

    section(1, clock).receive(LINK, confirmed(2));

    assertThat(clock.isConfirmed()).isFalse();
  }

  @Test
  void shouldTakeTheConfirmationOfTheRevisionThatItHolds() {
    ConfirmationClock clock = new ConfirmationClock(Ticker.systemTicker());

    section(2, clock).receive(LINK, confirmed(2));

    assertThat(clock.isConfirmed()).isTrue();
  }

  private static byte[] confirmed(long revision) {
    ConfirmationClock clock = new ConfirmationClock(Ticker.systemTicker());
    clock.confirmed(Duration.ZERO);
    return section(revision, clock).collect(LINK).orElseThrow();
  }

  private static RevisionSection section(long revision, ConfirmationClock clock) {
    ConfigHolder holder = new ConfigHolder();
    holder.adopt(new RevisionedConfig(revision, GatewayConfig.empty()));
    return new RevisionSection(holder, clock, (peer, r) -> {});
  }
}
