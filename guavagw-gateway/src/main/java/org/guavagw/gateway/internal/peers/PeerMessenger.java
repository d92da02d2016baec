package org.guavagw.gateway.internal.peers;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.internal.peer.NettyPeerNetwork;
import org.guavagw.internal.peer.PeerAddress;
import org.guavagw.internal.peer.PeerAddresses;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerMessageHandler;
import org.guavagw.internal.peer.PeerMessageRegistry;
import org.guavagw.internal.peer.PeerMessageType;
import org.guavagw.internal.peer.PeerNetwork;
import org.guavagw.internal.peer.PeerRequestHandler;
import org.guavagw.internal.peer.PeerSettings;

/**
 * Exchanges messages and requests with the other entries.
 *
 * <p>Messages may be lost: each carries the complete state of its subject, so the next one makes up
 * for a lost one. Thread-safe; handlers run on the traffic thread.
 */
public final class PeerMessenger implements PeerClient, AutoCloseable {
  private static final List<PeerMessageType<?>> TYPES =
      List.of(
          new PeerMessageType<>("evidence", EvidenceReport.class),
          new PeerMessageType<>("rejection", RolloutRejection.class),
          new PeerMessageType<>("work", WorkReport.class),
          new PeerMessageType<>("data-centre-work", DataCentreWork.class),
          new PeerMessageType<>("work-summary", WorkSummary.class),
          new PeerMessageType<>("measurement-report", MeasurementReport.class),
          new PeerMessageType<>("replica-query", ReplicaQuery.class),
          new PeerMessageType<>("replica-answer", ReplicaAnswer.class),
          new PeerMessageType<>("compressed-replica-answer", CompressedReplicaAnswer.class),
          new PeerMessageType<>("config-query", ConfigQuery.class),
          new PeerMessageType<>("config-answer", ConfigAnswer.class),
          new PeerMessageType<>("sessions", SessionReport.class),
          new PeerMessageType<>("reach", ReachReport.class),
          new PeerMessageType<>("demand", DemandReport.class),
          new PeerMessageType<>("demand-summary", DemandSummary.class));

  private final PeerAddresses addresses = new PeerAddresses();
  private final PeerNetwork network;
  private volatile List<Member> others = List.of();
  private volatile List<Member> evaluators = List.of();

  /**
   * Creates a messenger that listens for peers.
   *
   * @param secret secret shared by all entries of a deployment
   */
  public PeerMessenger(
      String self,
      InetSocketAddress address,
      String secret,
      Executor traffic,
      MetricRegistry metrics) {
    PeerMessageRegistry registry = new PeerMessageRegistry();
    registry.register(TYPES);
    this.network =
        new NettyPeerNetwork(
            new PeerIdentity(self, System.currentTimeMillis()),
            PeerSettings.of(address.getHostString(), address.getPort(), secret),
            addresses,
            registry,
            traffic,
            metrics);
  }

  /** Updates the members to which messages are sent. */
  public void onMembers(Members members) {
    others = members.others();
    evaluators =
        members.evaluators().stream().filter(m -> !m.name().equals(members.self())).toList();
    others.forEach(m -> addresses.put(m.name(), new PeerAddress(m.host(), m.port())));
  }

  /** Sets the handler for a type of message. */
  public <M extends PeerMessage> void onMessage(Class<M> type, PeerMessageHandler<M> handler) {
    network.onMessage(type, handler);
  }

  /** Sets the handler for a type of request. */
  public <M extends PeerMessage> void onRequest(Class<M> type, PeerRequestHandler<M> handler) {
    network.onRequest(type, handler);
  }

  @Override
  public CompletableFuture<PeerMessage> request(
      String entry, PeerMessage message, Duration timeout) {
    return network.request(entry, message, timeout);
  }

  /** Sends a message to the other entries that evaluate rollouts. */
  public void sendToEvaluators(PeerMessage message) {
    evaluators.forEach(m -> send(m.name(), message));
  }

  /** Sends a message to every other entry. */
  public void sendToAll(PeerMessage message) {
    others.forEach(m -> send(m.name(), message));
  }

  /** Sends a message to one entry. */
  public void send(String entry, PeerMessage message) {
    // The network counts a failure; the next message makes up for this one.
    var unused = network.send(entry, message);
  }

  @Override
  public void close() {
    network.close();
  }
}
