package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.peers.DataCentreWork;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.internal.peers.ServerWork;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkSummary;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Sends this entry's work at each backend server to other entries.
 *
 * <p>A long prompt delays all requests queued behind it at a backend server, whichever entry sent
 * it, so placement needs the work of all entries. In a small deployment every entry reports to
 * every other. In a large one each entry reports to the hub of its data centre; the hub sends each
 * of these entries a summary of all others, and sends the work of its data centre to the hubs of
 * other data centres. The number of messages thus grows linearly with the number of entries. A sum
 * is never added to another sum by its receiver, so that work cannot be counted twice while entries
 * disagree on the hub.
 *
 * <p>Urgent notices go out at once. A hub sends them to its followers without the work, each once
 * while it is urgent, so that they take little of its link. Confined to the traffic thread.
 */
public final class WorkReportSender {
  /** Interval between calls of {@link #tick}; short compared with the duration of a request. */
  public static final Duration PERIOD = Duration.ofMillis(100);

  /** Largest number of entries that all report to one another; up to here this costs little. */
  static final int MAX_MESH_ENTRIES = 12;

  /** Minimum interval of reports to the hub. */
  private static final Duration HUB_INTERVAL = SummarySchedule.MIN_INTERVAL;

  /** Minimum interval between data centres, where traffic is expensive and requests are few. */
  private static final Duration CROSS_DATA_CENTRE_INTERVAL = Duration.ofMillis(290);

  /** Entries of a data centre that are sent its reports while its hub is not known. */
  static final int LIKELY_HUBS = 2;

  /** An unchanged report is sent again before it expires at the receivers. */
  private static final Duration REFRESH_INTERVAL = PeerWorkReports.MAX_AGE.dividedBy(2);

  private final LoadTracker loads;
  private final Supplier<Members> members;
  private final HubSelector hubSelector;
  private final LongFunction<ServerNotices> notices;
  private final BiConsumer<String, PeerMessage> send;
  private final long linkBytesPerSecond;
  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<String, ServerNotices> notified = new HashMap<>();

  /**
   * Creates a sender.
   *
   * @param notices returns what else other entries are to be told at a monotonic time
   * @param send sends a report to an entry
   * @param linkBytesPerSecond what the link of this entry carries
   */
  public WorkReportSender(
      LoadTracker loads,
      Supplier<Members> members,
      HubSelector hubSelector,
      LongFunction<ServerNotices> notices,
      BiConsumer<String, PeerMessage> send,
      long linkBytesPerSecond) {
    this.loads = loads;
    this.members = members;
    this.hubSelector = hubSelector;
    this.notices = notices;
    this.send = send;
    this.linkBytesPerSecond = linkBytesPerSecond;
  }

  /** Sends the reports that are due, and urgent notices. */
  public void tick(long nowNanos) {
    Members known = members.get();
    ServerWork own = loads.ownWork(notices.apply(nowNanos));
    if (known.all().size() <= MAX_MESH_ENTRIES) {
      loads.peerReports().use(WorkSource.ENTRIES, known);
      sendToAll(known, own, nowNanos);
      return;
    }
    Optional<String> hub = hubSelector.hub();
    if (hub.filter(name -> !name.equals(known.self())).isPresent()) {
      loads.peerReports().use(WorkSource.SUMMARY, known);
      sendIfDue(hub.get(), own, WorkReport::new, HUB_INTERVAL, nowNanos);
    } else if (hub.isPresent()) {
      loads.peerReports().use(WorkSource.DATA_CENTRES, known);
      sendAsHub(known, own, nowNanos);
    }
  }

  private void sendToAll(Members known, ServerWork own, long nowNanos) {
    Set<String> localPeers = known.localPeers();
    for (Member other : known.others()) {
      Duration interval =
          localPeers.contains(other.name()) ? Duration.ZERO : CROSS_DATA_CENTRE_INTERVAL;
      sendIfDue(other.name(), own, WorkReport::new, interval, nowNanos);
    }
  }

  private void sendAsHub(Members known, ServerWork own, long nowNanos) {
    PeerWorkReports reports = loads.peerReports();
    ServerWork all = own.plus(reports.total());
    String dataCentre = known.localDataCentre();
    sendSummaries(dataCentre, known.localPeers(), all, nowNanos);
    ServerWork ofDataCentre = own.plus(reports.ofLocalPeers());
    known
        .remoteMembers()
        .forEach(
            (remote, ranked) ->
                hubsOf(remote, ranked)
                    .forEach(
                        hub ->
                            sendIfDue(
                                hub,
                                ofDataCentre,
                                work -> new DataCentreWork(dataCentre, work),
                                CROSS_DATA_CENTRE_INTERVAL,
                                nowNanos)));
  }

  private void sendSummaries(
      String dataCentre, Set<String> receivers, ServerWork all, long nowNanos) {
    SummarySchedule schedule = SummarySchedule.of(all, receivers.size(), linkBytesPerSecond);
    int left = schedule.receiversPerTick();
    for (String receiver : receivers) {
      if (left > 0 && isDue(receiver, schedule.interval(), nowNanos)) {
        ServerWork others = all.minus(loads.peerReports().ofEntry(receiver));
        sendIfDue(receiver, others, WorkSummary::new, schedule.interval(), nowNanos);
        left--;
      } else if (isUrgent(receiver, all)) {
        sendUrgentNotices(dataCentre, receiver, all.notices());
      }
    }
  }

  /** Sends new urgent notices as work of this data centre, of which the receiver uses no work. */
  private void sendUrgentNotices(String dataCentre, String receiver, ServerNotices next) {
    ServerNotices urgent = next.urgentSince(notifiedOf(receiver));
    notified.put(receiver, next);
    send.accept(receiver, new DataCentreWork(dataCentre, ServerWork.ofNotices(urgent)));
  }

  /** Returns the entry that reports for a data centre, or the likely ones if none does. */
  private List<String> hubsOf(String dataCentre, List<Member> ranked) {
    PeerWorkReports reports = loads.peerReports();
    return reports
        .activeHub(dataCentre)
        .map(List::of)
        .orElseGet(() -> ranked.stream().limit(LIKELY_HUBS).map(Member::name).toList());
  }

  private boolean isDue(String receiver, Duration minInterval, long nowNanos) {
    Sent last = sent.get(receiver);
    return last == null || nowNanos - last.nanos() >= minInterval.toNanos();
  }

  private void sendIfDue(
      String receiver,
      ServerWork work,
      Function<ServerWork, PeerMessage> message,
      Duration minInterval,
      long nowNanos) {
    if (isDue(receiver, work, minInterval, nowNanos)) {
      sent.put(receiver, new Sent(work, nowNanos));
      notified.put(receiver, work.notices());
      send.accept(receiver, message.apply(work));
    }
  }

  private boolean isDue(String receiver, ServerWork work, Duration minInterval, long nowNanos) {
    if (!sent.containsKey(receiver)) {
      return !work.equals(ServerWork.NONE);
    }
    boolean changed = !work.equals(sent.get(receiver).work());
    boolean refresh = !work.equals(ServerWork.NONE) && isDue(receiver, REFRESH_INTERVAL, nowNanos);
    return refresh
        || (changed && isDue(receiver, minInterval, nowNanos))
        || isUrgent(receiver, work);
  }

  private boolean isUrgent(String receiver, ServerWork work) {
    return notifiedOf(receiver).areOutdatedBy(work.notices());
  }

  private ServerNotices notifiedOf(String receiver) {
    return notified.getOrDefault(receiver, ServerNotices.NONE);
  }

  /** Work and the monotonic time at which it was sent. Immutable. */
  private record Sent(ServerWork work, long nanos) {}
}
