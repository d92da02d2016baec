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
 * Sends heartbeats to a set of peers, answers theirs, and carries the sections with both. Confined
 * to the control thread.
 *
 * <p>Invariant: a peer that misses heartbeats is tried on a fresh connection before it is reported
 * as unresponsive; one late answer breaks no connection.
 */
final class HeartbeatExchange {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long FORGET_LINK_NS = Duration.ofSeconds(60).toNanos();

  private final PeerNetwork network;
  private final GossipSettings settings;
  private final ScheduledExecutorService control;
  private final Ticker ticker;
  private final Function<String, Boolean> sameDataCentre;
  private final Consumer<String> unresponsive;
  private final MetricRegistry metrics;
  private final List<GossipSection> sections = new ArrayList<>();
  private final Map<String, OutgoingLink> outgoing = new HashMap<>();
  private final Map<String, IncomingLink> incoming = new HashMap<>();

  HeartbeatExchange(
      PeerNetwork network,
      GossipSettings settings,
      ScheduledExecutorService control,
      Ticker ticker,
      Function<String, Boolean> sameDataCentre,
      Consumer<String> unresponsive,
      MetricRegistry metrics) {
    this.network = network;
    this.settings = settings;
    this.control = control;
    this.ticker = ticker;
    this.sameDataCentre = sameDataCentre;
    this.unresponsive = unresponsive;
    this.metrics = metrics;
  }

  void add(GossipSection section) {
    sections.add(section);
  }

  void start() {
    network.onRequest(Heartbeat.class, this::answer);
  }

  /** Peers that get heartbeats now. */
  Set<String> peers() {
    return Set.copyOf(outgoing.keySet());
  }

  /** Sends a heartbeat to each of the peers, and drops links to others. */
  void beat(Set<String> peers) {
    List.copyOf(outgoing.keySet()).stream().filter(p -> !peers.contains(p)).forEach(this::drop);
    peers.forEach(this::beat);
    forgetOldLinks();
  }

  /** Whether any peer answered or was heard from lately. */
  boolean hearsAnyone() {
    long silenceNs = settings.heartbeatInterval().toNanos() * (settings.missedHeartbeats() - 1);
    long now = ticker.read();
    return outgoing.values().stream().anyMatch(l -> l.answered > 0 && l.missed == 0)
        || incoming.values().stream().anyMatch(l -> now - l.heardAtNs() < silenceNs);
  }

  /** Starts to count missed heartbeats anew, after this entry itself was held up. */
  void forgive() {
    outgoing.values().forEach(l -> l.missed = 0);
  }

  private void drop(String peer) {
    outgoing.remove(peer);
    GossipLink link = new GossipLink(peer, true);
    sections.forEach(s -> s.dropped(link));
  }

  private void beat(String peer) {
    OutgoingLink state = outgoing.computeIfAbsent(peer, this::newLink);
    if (state.waiting) {
      return;
    }
    state.waiting = true;
    state.sequence++;
    GossipLink link = new GossipLink(peer, true);
    Heartbeat heartbeat = new Heartbeat(state.sequence, state.answered, collect(link));
    var unused =
        network
            .request(peer, heartbeat, settings.heartbeatInterval())
            .whenCompleteAsync((m, e) -> finish(link, state, m), control);
  }

  private OutgoingLink newLink(String peer) {
    GossipLink link = new GossipLink(peer, true);
    sections.forEach(s -> s.dropped(link));
    return new OutgoingLink();
  }

  private void finish(GossipLink link, OutgoingLink state, PeerMessage message) {
    state.waiting = false;
    if (outgoing.get(link.peerId()) != state) {
      return;
    }
    if (!(message instanceof HeartbeatAnswer answer)) {
      missed(link.peerId(), state);
      return;
    }
    state.missed = 0;
    state.answered = state.sequence;
    carried(link).forEach(s -> s.confirmed(link));
    deliver(link, answer.sections());
  }

  private void missed(String peer, OutgoingLink state) {
    state.missed++;
    if (state.missed == settings.missedHeartbeats() - 1) {
      network.disconnect(peer);
    }
    if (state.missed >= settings.missedHeartbeats()) {
      unresponsive.accept(peer);
    }
  }

  private CompletionStage<? extends PeerMessage> answer(PeerIdentity from, Heartbeat heartbeat) {
    GossipLink link = new GossipLink(from.memberId(), false);
    IncomingLink state = incoming.get(from.memberId());
    boolean continued =
        state != null
            && state.incarnation == from.incarnation()
            && heartbeat.sequence() > state.sequence;
    if (!continued) {
      sections.forEach(s -> s.dropped(link));
    } else if (heartbeat.answeredSequence() == state.sequence) {
      carried(link).forEach(s -> s.confirmed(link));
    }
    incoming.put(
        from.memberId(), new IncomingLink(from.incarnation(), heartbeat.sequence(), ticker.read()));
    deliver(link, heartbeat.sections());
    return CompletableFuture.completedFuture(new HeartbeatAnswer(collect(link)));
  }

  private List<SectionBody> collect(GossipLink link) {
    List<SectionBody> bodies = new ArrayList<>();
    for (GossipSection section : carried(link)) {
      section.collect(link).ifPresent(b -> bodies.add(new SectionBody(section.code(), b)));
    }
    bodies.forEach(this::count);
    return bodies;
  }

  private void count(SectionBody body) {
    String name = MetricRegistry.name("gossip", "section-bytes", Integer.toString(body.code()));
    metrics.counter(name).inc(body.body().length);
  }

  private List<GossipSection> carried(GossipLink link) {
    boolean near = sameDataCentre.apply(link.peerId());
    return sections.stream().filter(s -> near || s.crossesDataCentres()).toList();
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
      logger.atWarning().withCause(e).log("section %s from %s", body.code(), link.peerId());
    }
  }

  private void forgetOldLinks() {
    long now = ticker.read();
    incoming
        .entrySet()
        .removeIf(
            e -> {
              boolean old = now - e.getValue().heardAtNs() > FORGET_LINK_NS;
              if (old) {
                GossipLink link = new GossipLink(e.getKey(), false);
                sections.forEach(s -> s.dropped(link));
              }
              return old;
            });
  }

  /** A link on which this entry sends heartbeats. Confined to the control thread. */
  private static final class OutgoingLink {
    private long sequence;
    private long answered;
    private int missed;
    private boolean waiting;
  }

  /** A link on which this entry answers heartbeats. Immutable. */
  private record IncomingLink(long incarnation, long sequence, long heardAtNs) {}
}
