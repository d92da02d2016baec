package org.guavagw.gateway.internal.placement;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.limits.BrittleServers;
import org.guavagw.gateway.internal.limits.LeavingServers;
import org.guavagw.gateway.internal.limits.ServerAvailability;
import org.guavagw.gateway.internal.limits.ServerPauses;
import org.guavagw.gateway.internal.limits.ServerRateLimits;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.DataCentreWork;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.internal.peers.ServerWork;
import org.guavagw.gateway.internal.peers.ServerWork.Work;
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkSummary;
import org.guavagw.gateway.internal.quarantine.IgnoringListener;
import org.guavagw.gateway.internal.quarantine.RequestQuarantine;
import org.guavagw.gateway.internal.quarantine.RequestTraits;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.internal.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class WorkReportSenderTest {
  private static final BackendServer SERVER = Samples.server("w1", "dc1", "v1");

  private static final RequestTraits SUSPECT = new RequestTraits("suspect", List.of());

  private static final int MAX_CONNECTIONS = 600;

  private final ManualClock clock = new ManualClock();
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(logged, true, UTF_8));
  private final List<Member> all = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
  private final Queue<Entry> urgent = new ArrayDeque<>();
  private int messages;

  @Test
  void shouldReportInFlightRequestsToAllEntriesOfASmallDeployment() {
    start(3);
    entries.forEach(e -> e.send(1));

    run(Duration.ofSeconds(1));

    entries.forEach(e -> assertThat(e.loads.totalInFlight(SERVER)).isEqualTo(3));
  }

  @Test
  void shouldReportThroughTheHubInALargeDeployment() {
    start(20);
    entries.forEach(e -> e.send(1));

    run(Duration.ofSeconds(1));

    entries.forEach(e -> assertThat(e.loads.totalInFlight(SERVER)).isEqualTo(20));
  }

  @Test
  void shouldReportToEntriesOfOtherDataCentres() {
    start(4, "dc1");
    start(4, "dc2");
    entries.get(0).send(1);

    run(Duration.ofSeconds(1));

    entries.forEach(e -> assertThat(e.loads.totalInFlight(SERVER)).isEqualTo(1));
  }

  @Test
  void shouldReportToOtherDataCentresThroughTheirHubs() {
    start(20, "dc1");
    start(20, "dc2");
    start(2, "dc3");
    entries.forEach(e -> e.send(1));

    run(Duration.ofSeconds(2));

    entries.forEach(e -> assertThat(e.loads.totalInFlight(SERVER)).isEqualTo(42));
  }

  @Test
  void shouldSendMessagesInProportionToTheNumberOfEntries() {
    start(20);
    for (int i = 0; i < 10; i++) {
      entries.forEach(e -> e.send(1));
      run(WorkReportSender.PERIOD);
    }

    // one report to the hub and one from it for each entry, at most five times a second
    assertThat(messages).isLessThanOrEqualTo(2 * 19 * 5 + 2 * 19);
  }

  @Test
  void shouldKeepReportingLongRunningRequests() {
    start(3);
    entries.get(0).send(1);

    run(Duration.ofSeconds(10));

    assertThat(entries.get(2).loads.totalInFlight(SERVER)).isEqualTo(1);
  }

  @Test
  void shouldExpireTheReportOfAnEntryThatStopped() {
    start(3);
    entries.get(0).send(1);
    run(Duration.ofSeconds(1));
    entries.remove(0);

    run(Duration.ofSeconds(3));

    assertThat(entries.get(1).loads.totalInFlight(SERVER)).isZero();
  }

  @Test
  void shouldNotCountWorkTwiceWhileTwoEntriesOfADataCentreActAsItsHub() {
    start(20, "dc1");
    start(20, "dc2");
    entries.forEach(e -> e.send(1));
    for (int round = 0; round < 40; round++) {
      for (int i = 0; i < entries.size(); i += 2) {
        Entry entry = entries.get(i);
        entry.hubs.hub().filter(hub -> !hub.equals(entry.name)).ifPresent(entry.hubs::avoid);
      }

      run(Duration.ofMillis(500));

      entries.forEach(e -> assertThat(e.loads.totalInFlight(SERVER)).isLessThanOrEqualTo(40));
    }
  }

  @Test
  void shouldReachTheHubThatReplacesTheFirstInRankOfAnotherDataCentre() {
    start(20, "dc1");
    start(20, "dc2");
    String first = entries.get(0).hubs.hub().orElseThrow();
    entries.removeIf(e -> e.name.equals(first));
    entries.stream().filter(e -> e.name.startsWith("dc1")).forEach(e -> e.hubs.avoid(first));
    entries.forEach(e -> e.send(1));

    run(Duration.ofSeconds(2));

    entries.forEach(e -> assertThat(e.loads.totalInFlight(SERVER)).isEqualTo(39));
  }

  @Test
  void shouldIgnoreAndLogAFigureThatCannotBeTrue() {
    start(3);
    Entry receiver = entries.get(0);

    receiver.receive("dc1-1", new WorkReport(work(2 * MAX_CONNECTIONS + 1, 0)));
    receiver.receive("dc1-1", new WorkReport(work(-1, 0)));
    receiver.receive("dc1-2", new WorkReport(work(1, Double.NaN)));
    log.close();

    assertThat(receiver.loads.totalInFlight(SERVER)).isZero();
    assertThat(logged.toString(UTF_8).lines())
        .hasSize(3)
        .allMatch(line -> line.contains("work_report_ignored"));
  }

  @Test
  void shouldTellAllEntriesOfABackendServerThatIsLeaving() {
    start(20, "dc1");
    start(20, "dc2");
    entries.get(0).availability.onAnswer(SERVER, Samples.leavingAnswer(), clock.read());

    run(Duration.ofSeconds(1));

    entries.forEach(
        e -> assertThat(e.availability.allows(SERVER, clock.read())).as(e.name).isFalse());
  }

  @Test
  void shouldNotifyAllEntriesOfACrashSuspectAtOnce() {
    start(20, "dc1");
    start(20, "dc2");
    entries.forEach(e -> e.send(1));
    run(Duration.ofSeconds(1));
    RequestTraits suspect = new RequestTraits("suspect", List.of());

    entries.get(1).quarantine.onServerEnded("ended", suspect, clock.read());
    sendUrgentReports();

    entries.forEach(
        e ->
            assertThat(e.quarantine.untilAllowed(suspect, false, clock.read()))
                .as(e.name)
                .isPresent());
  }

  @Test
  void shouldKeepTheWorkThatIsKnownWhenNotifiedAtOnce() {
    startWithSummariesSent();
    List<Integer> known = inFlightAtEntries();

    entries.get(1).quarantine.onServerEnded("ended", SUSPECT, clock.read());
    sendUrgentReports();

    assertThat(known).allMatch(n -> n >= 20);
    assertThat(inFlightAtEntries()).isEqualTo(known);
  }

  @Test
  void shouldNotTakeTheWorkForReportedAnewWhenNotifiedAtOnce() {
    startWithSummariesSent();
    Entry follower = entries.get(entries.get(0).isHub() ? 1 : 0);
    Duration age = follower.loads.at(SERVER, clock.read()).reportAge();
    clock.advance(Duration.ofMillis(50));

    entries.get(2).quarantine.onServerEnded("ended", SUSPECT, clock.read());
    sendUrgentReports();

    assertThat(follower.quarantine.untilAllowed(SUSPECT, false, clock.read())).isPresent();
    assertThat(follower.loads.at(SERVER, clock.read()).reportAge()).isEqualTo(age.plusMillis(50));
  }

  @Test
  void shouldNotifyOfACrashSuspectOnce() {
    startWithSummariesSent();
    entries.get(1).quarantine.onServerEnded("ended", SUSPECT, clock.read());
    sendUrgentReports();
    entries.forEach(e -> e.sender.tick(clock.read()));
    messages = 0;

    entries.forEach(e -> e.sender.tick(clock.read()));

    assertThat(messages).isZero();
  }

  private static ServerWork work(int running, double waitingMillis) {
    return new ServerWork(
        Map.of(SERVER.incarnation(), new Work(running, waitingMillis)), ServerNotices.NONE);
  }

  private void start(int count) {
    start(count, "dc1");
  }

  private void start(int count, String dataCentre) {
    for (int i = 0; i < count; i++) {
      all.add(new Member(dataCentre + "-" + i, dataCentre, "127.0.0.1", i + 1));
    }
    entries.clear();
    all.forEach(m -> entries.add(new Entry(m.name())));
  }

  /** Starts entries, two requests each, of which a hub has sent a summary a moment ago. */
  private void startWithSummariesSent() {
    start(20);
    entries.forEach(e -> e.send(1));
    run(Duration.ofSeconds(1));
    entries.forEach(e -> e.send(1));
    run(WorkReportSender.PERIOD.multipliedBy(2));
  }

  private List<Integer> inFlightAtEntries() {
    return entries.stream().map(e -> e.loads.totalInFlight(SERVER)).toList();
  }

  private void run(Duration time) {
    for (long t = 0; t < time.toMillis(); t += WorkReportSender.PERIOD.toMillis()) {
      clock.advance(WorkReportSender.PERIOD);
      entries.forEach(e -> e.loads.retain(Set.of(SERVER.incarnation()), clock.read()));
      entries.forEach(e -> e.sender.tick(clock.read()));
    }
  }

  private void sendUrgentReports() {
    while (!urgent.isEmpty()) {
      urgent.remove().sender.tick(clock.read());
    }
  }

  /** An entry with its load tracker. */
  private final class Entry {
    private final String name;
    private final LoadTracker loads = new LoadTracker();
    private final ServerAvailability availability =
        new ServerAvailability(
            new LeavingServers(),
            new ServerPauses(() -> 0),
            new ServerRateLimits((s, perSecond) -> perSecond, () -> 0),
            new BrittleServers(s -> 0, s -> true, () -> 0),
            () -> {},
            log);
    private final RequestQuarantine quarantine =
        new RequestQuarantine(() -> 0, new IgnoringListener(), () -> urgent.add(this));
    private final WorkReportReceiver receiver =
        new WorkReportReceiver(
            loads, this::onNotices, () -> MAX_CONNECTIONS, clock, log, new GatewayMetrics());
    private final HubSelector hubs;
    private final WorkReportSender sender;

    Entry(String name) {
      this.name = name;
      Members members = new Members(name, all);
      this.hubs = new HubSelector(() -> members, 4, clock);
      this.sender =
          new WorkReportSender(
              loads,
              () -> members,
              hubs,
              this::notices,
              (to, report) -> {
                messages++;
                entries.stream()
                    .filter(e -> e.name.equals(to))
                    .forEach(e -> e.receive(name, report));
              },
              Long.MAX_VALUE);
    }

    private ServerNotices notices(long nowNanos) {
      return availability.toTell(nowNanos).withQuarantine(quarantine.notices(nowNanos));
    }

    private void onNotices(String from, ServerNotices notices, long nowNanos) {
      availability.onReport(from, notices, nowNanos);
      quarantine.onNotices(notices.quarantine(), nowNanos);
    }

    private boolean isHub() {
      return hubs.hub().equals(Optional.of(name));
    }

    private void receive(String from, PeerMessage message) {
      if (message instanceof WorkReport report) {
        receiver.onReport(from, report);
      } else if (message instanceof DataCentreWork report) {
        receiver.onDataCentreWork(from, report);
      } else if (message instanceof WorkSummary summary) {
        receiver.onSummary(from, summary);
      }
    }

    void send(int requests) {
      for (int i = 0; i < requests; i++) {
        var unused = loads.onSent(SERVER, "m", List.of(), 100, 1000);
      }
    }
  }
}
