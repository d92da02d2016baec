package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.placement.Placement;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;

class WaitPolicyTest {
  private final BackendServer server = Samples.server("s", "dc", "v1");

  @Test
  void shouldSendARequestToAFullServerThatIsFreeBeforeAReportArrives() {
    assertThat(WaitPolicy.waitsHere(full(7))).isFalse();
  }

  @Test
  void shouldLetARequestWaitHereIfTheServerTakesLonger() {
    assertThat(WaitPolicy.waitsHere(full(101))).isTrue();
  }

  @Test
  void shouldNotLetARequestWaitWhileAServerHasRoomOrNoneIsEligible() {
    assertThat(WaitPolicy.waitsHere(new Placement.Placed(server, 500, 600, true))).isFalse();
    assertThat(WaitPolicy.waitsHere(Placement.none())).isFalse();
  }

  private Placement full(double waitMillis) {
    return new Placement.Placed(server, waitMillis, waitMillis + 40, false);
  }
}
