package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.MeasurementReport;
import org.guavagw.gateway.internal.peers.MeasurementReport.Scope;
import org.guavagw.gateway.internal.peers.Measurements;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Exchanges with other entries what was measured of backend servers and models.
 *
 * <p>An entry sees too few requests of its own to tell the speed of a backend server. Reports
 * travel as work reports do: between all entries of a small deployment, over hubs in a large one. A
 * sum over all entries is used alone and never passed on, so no sample counts twice. Without
 * reports an entry uses its own samples. Confined to the traffic thread.
 */
public final class MeasurementExchange {
  /** Interval between calls of {@link #tick}. */
  public static final Duration PERIOD = Duration.ofSeconds(2);

  /** Interval between calls of {@link #sendSome}. */
  public static final Duration STEP = WorkReportSender.PERIOD;

  /** Steps in which all followers are sent a report; the next period begins after them. */
  static final int STEPS = (int) PERIOD.dividedBy(STEP) / 2;

  /** Age at which a report expires. */
  private static final Duration MAX_AGE = PERIOD.multipliedBy(4);

  /** Time in which the weight of a sample halves; backend servers change their speed. */
  private static final Duration HALF_LIFE = Duration.ofSeconds(12);

  private static final double DECAY =
      Math.pow(0.5, (double) PERIOD.toMillis() / HALF_LIFE.toMillis());

  private final LoadTracker loads;
  private final Supplier<Members> members;
  private final HubSelector hubSelector;
  private final BiConsumer<String, PeerMessage> send;
  private final GatewayMetrics metrics;
  private final Map<String, Received> byEntry = new HashMap<>();
  private final Map<String, Received> byDataCentre = new HashMap<>();
  private final Deque<String> unsent = new ArrayDeque<>();
  private Measurements totalToSend = Measurements.NONE;
  private int receiversPerStep;
  private Received all = new Received(Measurements.NONE, 0);

  /**
   * Creates an exchange.
   *
   * @param send sends a report to an entry
   */
  public MeasurementExchange(
      LoadTracker loads,
      Supplier<Members> members,
      HubSelector hubSelector,
      BiConsumer<String, PeerMessage> send,
      GatewayMetrics metrics) {
    this.loads = loads;
    this.members = members;
    this.hubSelector = hubSelector;
    this.send = send;
    this.metrics = metrics;
  }

  /** Takes the measurements of other entries; ignores what cannot be true. */
  public void onReport(String sender, MeasurementReport report, long nowNanos) {
    if (!isPlausible(report.measurements())) {
      metrics.onImplausibleReport();
      return;
    }
    Received received = new Received(report.measurements(), nowNanos);
    switch (report.scope()) {
      case ENTRY -> byEntry.put(sender, received);
      case DATA_CENTRE -> byDataCentre.put(report.dataCentre(), received);
      default -> all = received;
    }
  }

  /** Sends the reports that are due and updates what placement uses. */
  public void tick(long nowNanos) {
    byEntry.values().removeIf(r -> r.isExpired(nowNanos));
    byDataCentre.values().removeIf(r -> r.isExpired(nowNanos));
    loads.decayMeasurements(DECAY);
    Measurements own = loads.ownMeasurements();
    loads.useMeasurements(exchange(own, nowNanos));
  }

  /** Sends what is known of all entries to some of the followers that have not got it yet. */
  public void sendSome() {
    for (int i = 0; i < receiversPerStep && !unsent.isEmpty(); i++) {
      send(unsent.remove(), Scope.ALL, totalToSend);
    }
  }

  /** Returns what is known of all entries. */
  private Measurements exchange(Measurements own, long nowNanos) {
    Members known = members.get();
    if (known.all().size() <= WorkReportSender.MAX_MESH_ENTRIES) {
      known.others().forEach(other -> send(other.name(), Scope.ENTRY, own));
      return own.plus(sum(byEntry, byEntry.keySet()));
    }
    Optional<String> hub = hubSelector.hub();
    if (hub.isEmpty()) {
      return own;
    }
    if (!hub.get().equals(known.self())) {
      send(hub.get(), Scope.ENTRY, own);
      return all.isExpired(nowNanos) ? own : all.measurements();
    }
    return exchangeAsHub(known, own);
  }

  private Measurements exchangeAsHub(Members known, Measurements own) {
    Measurements ofDataCentre = own.plus(sum(byEntry, known.localPeers()));
    Measurements total = ofDataCentre.plus(sum(byDataCentre, known.remoteMembers().keySet()));
    unsent.clear();
    unsent.addAll(known.localPeers());
    receiversPerStep = (int) Math.ceil((double) unsent.size() / STEPS);
    totalToSend = total;
    known
        .remoteMembers()
        .forEach(
            (dataCentre, ranked) ->
                hubsOf(dataCentre, ranked)
                    .forEach(remoteHub -> send(remoteHub, Scope.DATA_CENTRE, ofDataCentre)));
    return total;
  }

  private List<String> hubsOf(String dataCentre, List<Member> ranked) {
    return loads
        .peerReports()
        .activeHub(dataCentre)
        .map(List::of)
        .orElseGet(
            () -> ranked.stream().limit(WorkReportSender.LIKELY_HUBS).map(Member::name).toList());
  }

  private void send(String receiver, Scope scope, Measurements measurements) {
    // Empty reports are sent too, so that serialization is set up before there is traffic.
    String dataCentre = members.get().localDataCentre();
    send.accept(receiver, new MeasurementReport(scope, dataCentre, measurements));
  }

  private static Measurements sum(Map<String, Received> received, Set<String> origins) {
    Measurements sum = Measurements.NONE;
    for (Map.Entry<String, Received> report : received.entrySet()) {
      if (origins.contains(report.getKey())) {
        sum = sum.plus(report.getValue().measurements());
      }
    }
    return sum;
  }

  private static boolean isPlausible(Measurements measurements) {
    return measurements.servers().values().stream().allMatch(ServerSpeeds::isPlausible)
        && measurements.models().values().stream().allMatch(PrefillRateEstimator::isPlausible);
  }

  /** Measurements and their monotonic time of arrival. Immutable. */
  private record Received(Measurements measurements, long nanos) {
    boolean isExpired(long nowNanos) {
      return nowNanos - nanos > MAX_AGE.toNanos();
    }
  }
}
