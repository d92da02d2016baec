package org.guavagw.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class MonitoringConnectionsTest {
  private final MonitoringConnections connections = new MonitoringConnections();

  @Test
  void shouldCloseTheLongestUnusedBeyondTheLimit() {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < MonitoringConnections.MAX_CONNECTIONS; i++) {
      channels.add(new EmbeddedChannel());
      connections.add(channels.get(i));
    }
    connections.onUsed(channels.get(0));
    assertThat(channels).allMatch(EmbeddedChannel::isOpen);

    connections.add(new EmbeddedChannel());
    assertThat(channels.get(1).isOpen()).isFalse();
    assertThat(channels).filteredOn(c -> !c.isOpen()).hasSize(1);
  }
}
