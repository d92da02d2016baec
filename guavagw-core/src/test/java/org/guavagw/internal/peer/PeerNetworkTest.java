package org.guavagw.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import org.guavagw.internal.lifecycle.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerNetworkTest {
  private static final String HOST = "127.0.0.1";
  private static final Duration PING = Duration.ofMillis(400);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final Closer closer = new Closer();
  private final MetricRegistry metrics = new MetricRegistry();
  private final PeerAddresses addresses = new PeerAddresses();

  /** Request with a number. */
  record Question(long number, String text) implements PeerMessage {}

  /** Answer to the question with the same number. */
  record Reply(long number) implements PeerMessage {}

  /** A message that the receiver doesn't know. */
  record Later(String text) implements PeerMessage {}

  @AfterEach
  void close() {
    closer.close();
  }

  @Test
  void shouldMatchAnswersThatArriveOutOfOrderToTheirRequests() {
    NettyPeerNetwork a = network("a", "secret", Runnable::run);
    NettyPeerNetwork b = network("b", "secret", Runnable::run);
    CompletableFuture<Reply> first = new CompletableFuture<>();
    b.onRequest(
        Question.class,
        (from, q) -> {
          if (q.number() == 1) {
            return first;
          }
          first.complete(new Reply(1));
          return CompletableFuture.completedFuture(new Reply(q.number()));
        });

    CompletableFuture<PeerMessage> one = a.request("b", new Question(1, ""), TIMEOUT);
    CompletableFuture<PeerMessage> two = a.request("b", new Question(2, ""), TIMEOUT);

    assertThat(two.join()).isEqualTo(new Reply(2));
    assertThat(one.join()).isEqualTo(new Reply(1));
  }

  @Test
  void shouldDropAMessageOfATypeThatOnlyALaterBuildKnows() {
    PeerMessageRegistry later = registry();
    later.register(new PeerMessageType<>("later", Later.class));
    NettyPeerNetwork a =
        closer.register(
            new NettyPeerNetwork(
                new PeerIdentity("a", 1),
                PeerSettings.of(HOST, 0, "secret"),
                addresses,
                later,
                Runnable::run,
                metrics));
    NettyPeerNetwork b = network("b", "secret", Runnable::run);
    b.onRequest(Question.class, (from, q) -> CompletableFuture.completedFuture(new Reply(1)));

    assertThat(a.send("b", new Later("x")).isRight()).isTrue();

    assertThat(a.request("b", new Question(1, ""), TIMEOUT).join()).isEqualTo(new Reply(1));
    assertThat(metrics.counter("peer.unknown-type").getCount()).isEqualTo(1);
  }

  @Test
  void shouldReplaceAConnectionThatStopsAnswering() throws Exception {
    NettyPeerNetwork a = network("a", shortPingInterval(), Runnable::run);
    NettyPeerNetwork b = network("b", shortPingInterval(), Runnable::run);
    b.onRequest(Question.class, (from, q) -> CompletableFuture.completedFuture(new Reply(0)));
    try (SilencingProxy proxy = new SilencingProxy(b.port())) {
      addresses.put("b", new PeerAddress(HOST, proxy.port()));
      assertThat(a.request("b", new Question(1, ""), TIMEOUT).join()).isEqualTo(new Reply(0));

      proxy.silenceOpenConnections();
      CompletableFuture<PeerMessage> lost = a.request("b", new Question(2, ""), TIMEOUT);

      assertThat(failureOf(lost)).isEqualTo(PeerFailure.CONNECTION_LOST);
      assertThat(a.request("b", new Question(3, ""), TIMEOUT).join()).isEqualTo(new Reply(0));
      assertThat(metrics.counter("peer.silent-connection").getCount()).isPositive();
    }
  }

  @Test
  void shouldRefuseAPeerWithAWrongSecret() {
    NettyPeerNetwork a = network("a", "wrong", Runnable::run);
    network("b", "secret", Runnable::run);

    CompletableFuture<PeerMessage> request = a.request("b", new Question(1, ""), TIMEOUT);

    assertThat(failureOf(request)).isEqualTo(PeerFailure.CONNECTION_LOST);
    assertThat(metrics.counter("peer.refused-hello").getCount()).isPositive();
  }

  @Test
  void shouldFailARequestWhenAnotherMemberListensAtTheAddress() {
    NettyPeerNetwork a = network("a", "secret", Runnable::run);
    NettyPeerNetwork c = network("c", "secret", Runnable::run);
    addresses.put("b", new PeerAddress(HOST, c.port()));

    CompletableFuture<PeerMessage> request = a.request("b", new Question(1, ""), TIMEOUT);

    assertThat(failureOf(request)).isEqualTo(PeerFailure.UNREACHABLE);
  }

  @Test
  void shouldFailARequestThatIsNotAnsweredWithinTheTimeout() {
    NettyPeerNetwork a = network("a", "secret", Runnable::run);
    NettyPeerNetwork b = network("b", "secret", Runnable::run);
    b.onRequest(Question.class, (from, q) -> new CompletableFuture<Reply>());

    CompletableFuture<PeerMessage> request =
        a.request("b", new Question(1, ""), Duration.ofMillis(50));

    assertThat(failureOf(request)).isEqualTo(PeerFailure.TIMEOUT);
  }

  @Test
  void shouldRefuseAMessageThatExceedsTheFrameSize() {
    NettyPeerNetwork a = network("a", "secret", Runnable::run);
    network("b", "secret", Runnable::run);

    assertThat(a.send("b", new Question(1, "x".repeat(2_000_000))).getLeft())
        .isEqualTo(PeerFailure.TOO_LARGE);
  }

  @Test
  void shouldLimitQueuedBytesWhileThePeerDoesNotAnswerTheHandshake() throws Exception {
    NettyPeerNetwork a = network("a", "secret", Runnable::run);
    try (SilencingProxy proxy = new SilencingProxy(a.port())) {
      proxy.silenceNewConnections();
      addresses.put("b", new PeerAddress(HOST, proxy.port()));
      String text = "x".repeat(400_000);

      for (int i = 0; i < 5; i++) {
        assertThat(a.send("b", new Question(i, text)).isRight()).isTrue();
      }

      assertThat(a.send("b", new Question(6, text)).getLeft()).isEqualTo(PeerFailure.QUEUE_FULL);
    }
  }

  @Test
  void shouldRefuseToRegisterANameTwice() {
    PeerMessageRegistry registry = registry();

    assertThatThrownBy(() -> registry.register(new PeerMessageType<>("q", Reply.class)))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static PeerFailure failureOf(CompletableFuture<PeerMessage> request) {
    try {
      throw new AssertionError("answered with " + request.join());
    } catch (CompletionException e) {
      return ((PeerException) e.getCause()).failure();
    }
  }

  private NettyPeerNetwork network(String id, String secret, Executor executor) {
    return network(id, PeerSettings.of(HOST, 0, secret), executor);
  }

  private NettyPeerNetwork network(String id, PeerSettings settings, Executor executor) {
    NettyPeerNetwork network =
        closer.register(
            new NettyPeerNetwork(
                new PeerIdentity(id, 1), settings, addresses, registry(), executor, metrics));
    addresses.put(id, new PeerAddress(HOST, network.port()));
    return network;
  }

  private static PeerSettings shortPingInterval() {
    return PeerSettings.of(HOST, 0, "secret").withPingInterval(PING);
  }

  private static PeerMessageRegistry registry() {
    PeerMessageRegistry registry = new PeerMessageRegistry();
    registry.register(
        List.of(
            new PeerMessageType<>("q", Question.class), new PeerMessageType<>("r", Reply.class)));
    return registry;
  }
}
