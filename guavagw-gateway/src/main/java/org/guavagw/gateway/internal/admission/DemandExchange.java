package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.DemandReport;
import org.guavagw.gateway.internal.peers.DemandSummary;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ServiceDemand;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Exchanges the demand of entries while a service has too little room, and tells the scheduler that
 * of all others.
 *
 * <p>Messages travel like work reports: between all entries of a small deployment; else to the hub
 * of the data centre, from there to the hubs of the others, and as a summary back to the entries.
 * Nothing is sent for a service that has room. Traffic thread only.
 */
public final class DemandExchange {
  /** Largest number of entries that all report to one another. */
  private static final int MAX_MESH_ENTRIES = 12;

  private static final Duration LOCAL_INTERVAL = Duration.ofMillis(190);

  /** Minimum interval between data centres, where traffic is expensive. */
  private static final Duration CROSS_DATA_CENTRE_INTERVAL = Duration.ofMillis(290);

  /** Entries of another data centre that are sent its reports, as one of them is its hub. */
  private static final int LIKELY_HUBS = 2;

  private final SharedDemand scheduler;
  private final Supplier<Members> members;
  private final HubSelector hubSelector;
  private final BiConsumer<String, PeerMessage> send;
  private final PeerDemand received = new PeerDemand();
  private final Map<String, Long> sentNanos = new HashMap<>();

  /**
   * Creates an exchange.
   *
   * @param send sends a message to an entry
   */
  public DemandExchange(
      QueueingScheduler scheduler,
      Supplier<Members> members,
      HubSelector hubSelector,
      BiConsumer<String, PeerMessage> send) {
    this((SharedDemand) scheduler, members, hubSelector, send);
  }

  DemandExchange(
      SharedDemand scheduler,
      Supplier<Members> members,
      HubSelector hubSelector,
      BiConsumer<String, PeerMessage> send) {
    this.scheduler = scheduler;
    this.members = members;
    this.hubSelector = hubSelector;
    this.send = send;
  }

  /** Takes the demand of an entry or a data centre. */
  public void onReport(String sender, DemandReport report, long nowNanos) {
    received.onReport(sender, report, nowNanos);
  }

  /** Takes the demand of all other entries from the hub. */
  public void onSummary(DemandSummary summary, long nowNanos) {
    received.onSummary(summary, nowNanos);
  }

  /** Sends the messages that are due, and reports all other demand to the scheduler. */
  public void tick(long nowNanos) {
    received.expire(nowNanos);
    Members known = members.get();
    sentNanos.keySet().retainAll(known.others().stream().map(Member::name).toList());
    Map<String, ServiceDemand> own = scheduler.demand(nowNanos);
    if (known.all().size() <= MAX_MESH_ENTRIES) {
      exchangeInMesh(known, own, nowNanos);
      return;
    }
    Optional<String> hub = hubSelector.hub();
    if (hub.filter(known.self()::equals).isPresent()) {
      exchangeAsHub(known, own, nowNanos);
    } else {
      hub.ifPresent(name -> sendIfDue(name, LOCAL_INTERVAL, own, ofEntry(own), nowNanos));
      scheduler.onPeerDemand(received.ofSummary(nowNanos), nowNanos);
    }
  }

  private void exchangeInMesh(Members known, Map<String, ServiceDemand> own, long nowNanos) {
    Set<String> localPeers = known.localPeers();
    List<String> others = known.others().stream().map(Member::name).toList();
    for (String other : others) {
      Duration interval = localPeers.contains(other) ? LOCAL_INTERVAL : CROSS_DATA_CENTRE_INTERVAL;
      sendIfDue(other, interval, own, ofEntry(own), nowNanos);
    }
    scheduler.onPeerDemand(received.ofEntries(others, nowNanos), nowNanos);
  }

  private void exchangeAsHub(Members known, Map<String, ServiceDemand> own, long nowNanos) {
    Map<String, List<Member>> remote = known.remoteMembers();
    Map<String, ServiceDemand> ofPeers = received.ofEntries(known.localPeers(), nowNanos);
    Map<String, ServiceDemand> ofRemote = received.ofDataCentres(remote.keySet(), nowNanos);
    Map<String, ServiceDemand> ofOthers = PeerDemand.plus(ofPeers, ofRemote);
    Map<String, ServiceDemand> all = PeerDemand.plus(own, ofOthers);
    for (String peer : known.localPeers()) {
      DemandSummary summary =
          new DemandSummary(PeerDemand.minus(all, received.ofEntry(peer, nowNanos)));
      sendIfDue(peer, LOCAL_INTERVAL, all, summary, nowNanos);
    }
    Map<String, ServiceDemand> ofDataCentre = PeerDemand.plus(own, ofPeers);
    DemandReport report = new DemandReport(known.localDataCentre(), ofDataCentre);
    for (List<Member> ranked : remote.values()) {
      ranked.stream()
          .limit(LIKELY_HUBS)
          .forEach(
              m -> sendIfDue(m.name(), CROSS_DATA_CENTRE_INTERVAL, ofDataCentre, report, nowNanos));
    }
    scheduler.onPeerDemand(ofOthers, nowNanos);
  }

  private static DemandReport ofEntry(Map<String, ServiceDemand> own) {
    return new DemandReport("", own);
  }

  /** Sends a message if it reports any demand. */
  private void sendIfDue(
      String receiver,
      Duration interval,
      Map<String, ServiceDemand> demand,
      PeerMessage message,
      long nowNanos) {
    Long last = sentNanos.get(receiver);
    boolean due = last == null || nowNanos - last >= interval.toNanos();
    if (due && !demand.isEmpty()) {
      sentNanos.put(receiver, nowNanos);
      send.accept(receiver, message);
    }
  }
}
