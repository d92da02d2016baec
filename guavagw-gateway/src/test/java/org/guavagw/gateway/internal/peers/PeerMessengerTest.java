package org.guavagw.gateway.internal.peers;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.spi.StoredRow;
import org.junit.jupiter.api.Test;

class PeerMessengerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @Test
  void shouldExchangeAQueryAndItsCompressedAnswer() throws IOException {
    InetSocketAddress hubAddress = freeAddress();
    ReplicaQuery query = new ReplicaQuery(0, Map.of("orders", 5L)).acceptingCompressed();
    ReplicaAnswer answer = new ReplicaAnswer(0, 1, 2, false, List.of(update()), List.of());
    byte[] compressed = new ReplicaRowsCodec().compress(ReplicaRows.of(answer));
    try (PeerMessenger hub = messenger("hub", hubAddress);
        PeerMessenger follower = messenger("follower", freeAddress())) {
      hub.onRequest(
          ReplicaQuery.class,
          (from, received) ->
              CompletableFuture.completedFuture(
                  received.acceptsCompressed()
                      ? CompressedReplicaAnswer.of(answer, compressed)
                      : answer));
      follower.onMembers(
          new Members(
              "follower",
              List.of(new Member("hub", "dc", hubAddress.getHostString(), hubAddress.getPort()))));

      CompressedReplicaAnswer received =
          (CompressedReplicaAnswer) follower.request("hub", query, TIMEOUT).join();

      assertThat(received.decompress(new ReplicaRowsCodec()))
          .usingRecursiveComparison()
          .isEqualTo(answer);
    }
  }

  private static TableUpdate update() {
    byte[] value = "value".repeat(3000).getBytes(UTF_8);
    return new TableUpdate("orders", 6, false, List.of(new StoredRow("config", value, 6, false)));
  }

  private static PeerMessenger messenger(String self, InetSocketAddress address) {
    return new PeerMessenger(self, address, "secret", Runnable::run, new MetricRegistry());
  }

  private static InetSocketAddress freeAddress() throws IOException {
    InetAddress host = InetAddress.getLoopbackAddress();
    try (ServerSocket socket = new ServerSocket(0, 1, host)) {
      return new InetSocketAddress(host.getHostAddress(), socket.getLocalPort());
    }
  }
}
