package org.guavagw.internal.membership;

import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ticker;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Function;
import org.guavagw.internal.membership.MembershipMessage.Heartbeat;
import org.guavagw.internal.membership.MembershipMessage.HeartbeatAnswer;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.peer.PeerMessage;
import org.guavagw.internal.peer.PeerNetwork;

/**
 * Sends heartbeats to a set of peers and answers theirs; heartbeats and answers carry the sections.
 * Confined to the control thread.
 *
 * <p>Invariant: a peer that misses heartbeats gets one on a new connection before it is reported as
 * unresponsive; a single late answer closes no connection.
 */
final class HeartbeatProtocol {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long LINK_RETENTION_NS = Duration.ofSeconds(60).toNanos();

  private final PeerNetwork network;
  private final GossipSettings settings;
  private final ScheduledExecutorService control;
  private final Ticker ticker;
  private final Function<String, Boolean> sameDataCentre;
  private final Consumer<String> onUnresponsive;
  private final MetricRegistry metrics;
  private final List<GossipSection> sections = new ArrayList<>();
  private final Map<String, OutgoingLink> outgoing = new HashMap<>();
  private final Map<String, IncomingLink> incoming = new HashMap<>();

  HeartbeatProtocol(
      PeerNetwork network,
      GossipSettings settings,
      ScheduledExecutorService control,
      Ticker ticker,
      Function<String, Boolean> sameDataCentre,
      Consumer<String> onUnresponsive,
      MetricRegistry metrics) {
    this.network = network;
    this.settings = settings;
    this.control = control;
    this.ticker = ticker;
    this.sameDataCentre = sameDataCentre;
    this.onUnresponsive = onUnresponsive;
    this.metrics = metrics;
  }

  void add(GossipSection section) {
    sections.add(section);
  }

  void start() {
    network.onRequest(Heartbeat.class, this::onHeartbeat);
  }

  /** Returns the peers to which heartbeats are sent. */
  Set<String> peers() {
    return Set.copyOf(outgoing.keySet());
  }

  /** Sends a heartbeat to each of the peers and closes the links to all others. */
  void sendHeartbeats(Set<String> peers) {
    List.copyOf(outgoing.keySet()).stream()
        .filter(p -> !peers.contains(p))
        .forEach(this::closeLink);
    peers.forEach(this::sendHeartbeat);
    removeStaleLinks();
  }

  /** Returns whether any peer answered or sent a heartbeat recently. */
  boolean hasContact() {
    long maxAgeNs = settings.heartbeatInterval().toNanos() * (settings.missedHeartbeats() - 1);
    long now = ticker.read();
    return outgoing.values().stream().anyMatch(l -> l.lastAnswered > 0 && l.missed == 0)
        || incoming.values().stream().anyMatch(l -> now - l.receivedAtNs() < maxAgeNs);
  }

  /** Resets the counts of missed heartbeats, after a pause of this entry itself. */
  void resetMissedCounts() {
    outgoing.values().forEach(l -> l.missed = 0);
  }

  private void closeLink(String peer) {
    outgoing.remove(peer);
    GossipLink link = new GossipLink(peer, true);
    sections.forEach(s -> s.onLinkReset(link));
  }

  private void sendHeartbeat(String peer) {
    OutgoingLink state = outgoing.computeIfAbsent(peer, this::openLink);
    if (state.awaitingAnswer) {
      return;
    }
    state.awaitingAnswer = true;
    state.sequence++;
    GossipLink link = new GossipLink(peer, true);
    Heartbeat heartbeat = new Heartbeat(state.sequence, state.lastAnswered, collect(link));
    var unused =
        network
            .request(peer, heartbeat, settings.heartbeatInterval())
            .whenCompleteAsync((m, e) -> onCompletion(link, state, m), control);
  }

  private OutgoingLink openLink(String peer) {
    GossipLink link = new GossipLink(peer, true);
    sections.forEach(s -> s.onLinkReset(link));
    return new OutgoingLink();
  }

  private void onCompletion(GossipLink link, OutgoingLink state, PeerMessage message) {
    state.awaitingAnswer = false;
    if (outgoing.get(link.peerId()) != state) {
      return;
    }
    if (!(message instanceof HeartbeatAnswer answer)) {
      onMissed(link.peerId(), state);
      return;
    }
    state.missed = 0;
    state.lastAnswered = state.sequence;
    sectionsFor(link).forEach(s -> s.onConfirmed(link));
    deliver(link, answer.sections());
  }

  private void onMissed(String peer, OutgoingLink state) {
    state.missed++;
    if (state.missed == settings.missedHeartbeats() - 1) {
      network.disconnect(peer);
    }
    if (state.missed >= settings.missedHeartbeats()) {
      onUnresponsive.accept(peer);
    }
  }

  private CompletionStage<? extends PeerMessage> onHeartbeat(
      PeerIdentity from, Heartbeat heartbeat) {
    GossipLink link = new GossipLink(from.memberId(), false);
    IncomingLink state = incoming.get(from.memberId());
    boolean isContinuation =
        state != null
            && state.incarnation == from.incarnation()
            && heartbeat.sequence() > state.sequence;
    if (!isContinuation) {
      sections.forEach(s -> s.onLinkReset(link));
    } else if (heartbeat.answeredSequence() == state.sequence) {
      sectionsFor(link).forEach(s -> s.onConfirmed(link));
    }
    incoming.put(
        from.memberId(), new IncomingLink(from.incarnation(), heartbeat.sequence(), ticker.read()));
    deliver(link, heartbeat.sections());
    return CompletableFuture.completedFuture(new HeartbeatAnswer(collect(link)));
  }

  private List<SectionBody> collect(GossipLink link) {
    List<SectionBody> bodies = new ArrayList<>();
    for (GossipSection section : sectionsFor(link)) {
      section.collect(link).ifPresent(b -> bodies.add(new SectionBody(section.code(), b)));
    }
    bodies.forEach(this::countBytes);
    return bodies;
  }

  private void countBytes(SectionBody body) {
    String name = MetricRegistry.name("gossip", "section-bytes", Integer.toString(body.code()));
    metrics.counter(name).inc(body.body().length);
  }

  private List<GossipSection> sectionsFor(GossipLink link) {
    boolean isLocal = sameDataCentre.apply(link.peerId());
    return sections.stream().filter(s -> isLocal || s.crossesDataCentres()).toList();
  }

  private void deliver(GossipLink link, List<SectionBody> bodies) {
    for (SectionBody body : bodies) {
      sections.stream().filter(s -> s.code() == body.code()).forEach(s -> deliver(s, link, body));
    }
  }

  private static void deliver(GossipSection section, GossipLink link, SectionBody body) {
    try {
      section.receive(link, body.body());
    } catch (RuntimeException e) {
      logger.atWarning().withCause(e).log(
          "cannot apply gossip section %s from %s", body.code(), link.peerId());
    }
  }

  private void removeStaleLinks() {
    long now = ticker.read();
    incoming
        .entrySet()
        .removeIf(
            e -> {
              boolean isStale = now - e.getValue().receivedAtNs() > LINK_RETENTION_NS;
              if (isStale) {
                GossipLink link = new GossipLink(e.getKey(), false);
                sections.forEach(s -> s.onLinkReset(link));
              }
              return isStale;
            });
  }

  /** A link on which this entry sends heartbeats. Confined to the control thread. */
  private static final class OutgoingLink {
    private long sequence;
    private long lastAnswered;
    private int missed;
    private boolean awaitingAnswer;
  }

  /** A link on which this entry answers heartbeats. Immutable. */
  private record IncomingLink(long incarnation, long sequence, long receivedAtNs) {}
}
