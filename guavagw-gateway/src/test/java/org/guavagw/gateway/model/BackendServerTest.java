package org.guavagw.gateway.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BackendServerTest {
  private static final InetSocketAddress ADDRESS = new InetSocketAddress(1);
  private static final InetSocketAddress OTHER_ADDRESS = new InetSocketAddress(2);

  @Test
  void shouldEqualAServerOfTheSameStateOnly() {
    BackendServer server = new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, false, 1, 2);
    List<BackendServer> others =
        List.of(
            new BackendServer("x", "s", ADDRESS, "dc", "v1", 4, false, 1, 2),
            new BackendServer("w", "t", ADDRESS, "dc", "v1", 4, false, 1, 2),
            new BackendServer("w", "s", OTHER_ADDRESS, "dc", "v1", 4, false, 1, 2),
            new BackendServer("w", "s", ADDRESS, "other", "v1", 4, false, 1, 2),
            new BackendServer("w", "s", ADDRESS, "dc", "v2", 4, false, 1, 2),
            new BackendServer("w", "s", ADDRESS, "dc", "v1", 5, false, 1, 2),
            new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, true, 1, 2),
            new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, false, 3, 2),
            new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, false, 1, 4));
    BackendServer equal = new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, false, 1, 2);
    assertThat(server).isEqualTo(equal).hasSameHashCodeAs(equal);
    assertThat(others).doesNotContain(server);
    assertThat(new HashSet<>(others)).hasSameSizeAs(others);
  }

  @Test
  void shouldTellIncarnationsOfOneIdApart() {
    Set<String> incarnations =
        Set.of(
            new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, false, 1, 0).incarnation(),
            new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, false, 2, 0).incarnation(),
            new BackendServer("w", "s", OTHER_ADDRESS, "dc", "v1", 4, false, 1, 0).incarnation());
    assertThat(incarnations).hasSize(3);
  }

  @Test
  void shouldStayTheSameIncarnationWhileItDrains() {
    BackendServer server = new BackendServer("w", "s", ADDRESS, "dc", "v1", 4, false, 1, 0);
    assertThat(server.asDraining().incarnation()).isEqualTo(server.incarnation());
    assertThat(server.asDraining().draining()).isTrue();
  }
}
