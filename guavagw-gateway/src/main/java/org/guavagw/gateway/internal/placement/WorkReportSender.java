package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.WorkReport;

/**
 * Sends work reports, this entry's load on each backend server, to other entries.
 *
 * <p>A long prompt delays all requests queued behind it at a backend server, whichever entry sent
 * it, so placement needs the load of all entries. In a small deployment every entry reports to
 * every other. In a large one each entry reports to the hub of its data centre; the hub sends each
 * of these entries the sum of all others, and sends the total of its data centre to the hubs of
 * other data centres. The number of messages thus grows linearly with the number of entries.
 * Confined to the traffic thread.
 */
public final class WorkReportSender {
  /** Interval between calls of {@link #tick}; short compared with the duration of a request. */
  public static final Duration PERIOD = Duration.ofMillis(100);

  /** Largest number of entries that all report to one another; up to here this costs little. */
  private static final int MAX_MESH_ENTRIES = 12;

  /** Minimum interval of reports to or from the hub; two hops take less time than a prefill. */
  private static final Duration HUB_INTERVAL = Duration.ofMillis(190);

  /** Minimum interval between data centres, where traffic is expensive and requests are few. */
  private static final Duration CROSS_DATA_CENTRE_INTERVAL = Duration.ofMillis(290);

  /** An unchanged report is sent again before it expires at the receivers. */
  private static final Duration REFRESH_INTERVAL = PeerWorkReports.MAX_AGE.dividedBy(2);

  private static final WorkReport EMPTY = new WorkReport(Map.of());

  private final LoadTracker loads;
  private final Supplier<Members> members;
  private final HubSelector hubSelector;
  private final BiConsumer<String, WorkReport> send;
  private final Map<String, Sent> sent = new HashMap<>();

  /**
   * Creates a sender.
   *
   * @param send sends a report to an entry
   */
  public WorkReportSender(
      LoadTracker loads,
      Supplier<Members> members,
      HubSelector hubSelector,
      BiConsumer<String, WorkReport> send) {
    this.loads = loads;
    this.members = members;
    this.hubSelector = hubSelector;
    this.send = send;
  }

  /** Sends the reports that are due. */
  public void tick(long nowNanos) {
    Members known = members.get();
    WorkReport own = loads.report();
    if (known.all().size() <= MAX_MESH_ENTRIES) {
      sendToAll(known, own, nowNanos);
      return;
    }
    Optional<String> hub = hubSelector.hub();
    if (hub.filter(name -> !name.equals(known.self())).isPresent()) {
      sendIfDue(hub.get(), own, HUB_INTERVAL, nowNanos);
    } else if (hub.isPresent()) {
      sendAsHub(known, own, nowNanos);
    }
  }

  private void sendToAll(Members known, WorkReport own, long nowNanos) {
    Set<String> localPeers = known.localPeers();
    for (Member other : known.others()) {
      boolean localPeer = localPeers.contains(other.name());
      sendIfDue(
          other.name(), own, localPeer ? Duration.ZERO : CROSS_DATA_CENTRE_INTERVAL, nowNanos);
    }
  }

  private void sendAsHub(Members known, WorkReport own, long nowNanos) {
    Set<String> localPeers = known.localPeers();
    for (String localPeer : localPeers) {
      WorkReport allOthers = own.plus(loads.sumOfEntries(name -> !name.equals(localPeer)));
      sendIfDue(localPeer, allOthers, HUB_INTERVAL, nowNanos);
    }
    WorkReport dataCentreTotal = own.plus(loads.sumOfEntries(localPeers::contains));
    for (Member hub : known.hubsOfOtherDataCentres()) {
      sendIfDue(hub.name(), dataCentreTotal, CROSS_DATA_CENTRE_INTERVAL, nowNanos);
    }
  }

  private void sendIfDue(String receiver, WorkReport report, Duration minInterval, long nowNanos) {
    Sent last = sent.get(receiver);
    if (last == null && report.equals(EMPTY)) {
      return;
    }
    if (last != null) {
      long elapsed = nowNanos - last.nanos();
      boolean changed = !report.equals(last.report());
      boolean refresh = !report.equals(EMPTY) && elapsed >= REFRESH_INTERVAL.toNanos();
      if (!refresh && !(changed && elapsed >= minInterval.toNanos())) {
        return;
      }
    }
    sent.put(receiver, new Sent(report, nowNanos));
    send.accept(receiver, report);
  }

  /** A report and the monotonic time at which it was sent. Immutable. */
  private record Sent(WorkReport report, long nanos) {}
}
