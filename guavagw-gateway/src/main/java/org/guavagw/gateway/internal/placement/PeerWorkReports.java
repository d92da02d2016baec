package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.guavagw.gateway.internal.peers.DataCentreWork;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.ServerWork;
import org.guavagw.gateway.internal.peers.ServerWork.Work;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkSummary;

/**
 * The latest work of other entries, kept by its origin: an entry or a data centre.
 *
 * <p>Invariants: what an entry believes never contains the work of one origin twice, because the
 * {@link WorkSource} in use adds up origins that exclude each other, and a summary is used alone;
 * what is older than {@link #MAX_AGE} is not used. Not thread-safe.
 */
final class PeerWorkReports {
  /** Age at which a report expires; reports normally arrive several times a second. */
  static final Duration MAX_AGE = Duration.ofMillis(1500);

  private final Map<String, Received> byEntry = new HashMap<>();
  private final Map<String, Received> byDataCentre = new HashMap<>();
  private Received summary = new Received("", ServerWork.NONE, 0);
  private WorkSource source = WorkSource.ENTRIES;
  private Set<String> localPeers = Set.of();
  private String localDataCentre = "";
  private ServerWork total = ServerWork.NONE;
  private boolean outdated;
  private long version;
  private long receivedNanos;

  /** Sets which reports are used from now on. */
  void use(WorkSource nextSource, Members members) {
    Set<String> peers = members.localPeers();
    outdated |= nextSource != source || !peers.equals(localPeers);
    source = nextSource;
    localPeers = peers;
    localDataCentre = members.localDataCentre();
  }

  void onReport(String entry, WorkReport report, long nowNanos) {
    byEntry.put(entry, new Received(entry, report.work(), nowNanos));
    onReceived(nowNanos);
  }

  /** Takes the work of another data centre; that of this one is known from its entries. */
  void onDataCentreWork(String hub, DataCentreWork report, long nowNanos) {
    if (report.dataCentre().equals(localDataCentre)) {
      return;
    }
    byDataCentre.put(report.dataCentre(), new Received(hub, report.work(), nowNanos));
    onReceived(nowNanos);
  }

  void onSummary(String hub, WorkSummary received, long nowNanos) {
    summary = new Received(hub, received.work(), nowNanos);
    onReceived(nowNanos);
  }

  /** Drops what has expired. */
  void expire(long nowNanos) {
    Predicate<Received> expired = r -> nowNanos - r.nanos() > MAX_AGE.toNanos();
    outdated |= byEntry.values().removeIf(expired);
    outdated |= byDataCentre.values().removeIf(expired);
    if (expired.test(summary) && !summary.work().equals(ServerWork.NONE)) {
      summary = new Received("", ServerWork.NONE, nowNanos);
      outdated = true;
    }
  }

  /** Returns the latest report of an entry. */
  ServerWork ofEntry(String entry) {
    Received received = byEntry.get(entry);
    return received == null ? ServerWork.NONE : received.work();
  }

  /** Returns the work of the other entries of this data centre, as each reported it. */
  ServerWork ofLocalPeers() {
    return sum(byEntry, localPeers::contains);
  }

  /** Returns the entry that last reported for a data centre, if any did of late. */
  Optional<String> activeHub(String dataCentre) {
    return Optional.ofNullable(byDataCentre.get(dataCentre)).map(Received::sender);
  }

  /** Returns the work of all other entries, as far as it is known here. */
  ServerWork total() {
    if (outdated) {
      outdated = false;
      version++;
      total =
          switch (source) {
            case ENTRIES -> sum(byEntry, name -> true);
            case DATA_CENTRES -> ofLocalPeers().plus(sum(byDataCentre, name -> true));
            case SUMMARY -> summary.work();
          };
    }
    return total;
  }

  Work at(String incarnation) {
    return total().at(incarnation);
  }

  /** Returns a number that changes whenever the total may have changed. */
  long version() {
    var unused = total();
    return version;
  }

  /** Returns the monotonic time at which the latest report arrived. */
  long receivedNanos() {
    return receivedNanos;
  }

  private void onReceived(long nowNanos) {
    outdated = true;
    receivedNanos = nowNanos;
  }

  private static ServerWork sum(Map<String, Received> reports, Predicate<String> included) {
    ServerWork sum = ServerWork.NONE;
    for (Map.Entry<String, Received> report : reports.entrySet()) {
      if (included.test(report.getKey())) {
        sum = sum.plus(report.getValue().work());
      }
    }
    return sum;
  }

  /** Work, the entry that sent it and its monotonic time of arrival. Immutable. */
  private record Received(String sender, ServerWork work, long nanos) {}
}
