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
  void shouldIgnoreTheConfirmationOfAHigherRevision() {
    ConfirmationTracker confirmations = new ConfirmationTracker(Ticker.systemTicker());

    section(1, confirmations).receive(LINK, confirmed(2));

    assertThat(confirmations.isConfirmed()).isFalse();
  }

  @Test
  void shouldAcceptTheConfirmationOfTheRevisionThatItHolds() {
    ConfirmationTracker confirmations = new ConfirmationTracker(Ticker.systemTicker());

    section(2, confirmations).receive(LINK, confirmed(2));

    assertThat(confirmations.isConfirmed()).isTrue();
  }

  private static byte[] confirmed(long revision) {
    ConfirmationTracker confirmations = new ConfirmationTracker(Ticker.systemTicker());
    confirmations.onConfirmed(Duration.ZERO);
    return section(revision, confirmations).collect(LINK).orElseThrow();
  }

  private static RevisionSection section(long revision, ConfirmationTracker confirmations) {
    ConfigHolder holder = new ConfigHolder();
    holder.adopt(new RevisionedConfig(revision, GatewayConfig.empty()));
    return new RevisionSection(holder, confirmations, (peer, r) -> {});
  }
}
