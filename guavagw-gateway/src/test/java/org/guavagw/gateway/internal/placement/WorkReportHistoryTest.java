package org.guavagw.gateway.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
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
import org.guavagw.gateway.internal.peers.WorkReport;
import org.guavagw.gateway.internal.peers.WorkSummary;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Histories of work reports while entries disagree on hubs, restart, and lose or delay messages.
 *
 * <p>Checks that no entry ever believes more of a backend server than all entries together have had
 * there within the life of the reports.
 */
class WorkReportHistoryTest {
  private static final BackendServer SERVER = Samples.server("w1", "dc1", "v1");
  private static final int STEPS = 300;

  /** A report may reach an entry over two hubs and be used until it expires at each. */
  private static final Duration REPORT_LIFE =
      PeerWorkReports.MAX_AGE.multipliedBy(3).plusMillis(600);

  private static final int MAX_CONNECTIONS = 600;
  private static final int MAX_DELAY_STEPS = 3;
  private static final int MAX_REQUESTS = 8;

  private final ManualClock clock = new ManualClock();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(PrintStream.nullOutputStream()));
  private final List<Member> members = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Delivery> onTheWay = new ArrayList<>();
  private Random random;

  @Property(tries = 60)
  void shouldNeverBelieveMoreWorkThanAllEntriesHad(
      @ForAll long seed,
      @ForAll @IntRange(min = 1, max = 4) int dataCentres,
      @ForAll @IntRange(min = 2, max = 9) int entriesInEach) {
    // the properties of a class share one instance for all their tries
    members.clear();
    entries.clear();
    onTheWay.clear();
    random = new Random(seed);
    for (int dc = 0; dc < dataCentres; dc++) {
      for (int i = 0; i < entriesInEach; i++) {
        members.add(new Member("entry-" + dc + "-" + i, "dc" + dc, "127.0.0.1", i + 1));
      }
    }
    members.forEach(m -> entries.add(new Entry(m.name())));
    for (int step = 0; step < STEPS; step++) {
      step(step);
      int most = entries.stream().mapToInt(Entry::mostOfLate).sum();
      entries.forEach(
          e -> assertThat(e.loads.totalInFlight(SERVER)).as(e.name).isLessThanOrEqualTo(most));
    }
  }

  private void step(int step) {
    clock.advance(WorkReportSender.PERIOD);
    for (int i = 0; i < entries.size(); i++) {
      Entry entry = entries.get(i);
      entry.changeRequests();
      if (random.nextInt(20) == 0) {
        entry.hubs.hub().filter(hub -> !hub.equals(entry.name)).ifPresent(entry.hubs::avoid);
      }
      if (random.nextInt(200) == 0) {
        entries.set(i, entry.restarted());
      }
    }
    List<Delivery> due = onTheWay.stream().filter(d -> d.step() <= step).toList();
    onTheWay.removeIf(d -> d.step() <= step);
    due.forEach(this::deliver);
    for (Entry entry : entries) {
      entry.loads.retain(Set.of(SERVER.incarnation()), clock.read());
      entry.step = step;
      entry.sender.tick(clock.read());
    }
  }

  private void deliver(Delivery delivery) {
    entries.stream()
        .filter(e -> e.name.equals(delivery.to()))
        .forEach(e -> e.receive(delivery.from(), delivery.message()));
  }

  /** A message that arrives in a later step. */
  private record Delivery(int step, String from, String to, PeerMessage message) {}

  /** The requests that an entry had at a moment. */
  private record Sample(long nanos, int requests) {}

  /** An entry with its load tracker. */
  private final class Entry {
    private final String name;
    private final LoadTracker loads = new LoadTracker();
    private final HubSelector hubs;
    private final WorkReportSender sender;
    private final ServerAvailability availability =
        new ServerAvailability(
            new LeavingServers(),
            new ServerPauses(() -> 0),
            new ServerRateLimits((s, perSecond) -> perSecond, () -> 0),
            new BrittleServers(s -> 0, s -> true, () -> 0),
            () -> {},
            log);
    private final WorkReportReceiver receiver =
        new WorkReportReceiver(
            loads, availability::onReport, () -> MAX_CONNECTIONS, clock, log, new GatewayMetrics());
    private final Deque<Sample> samples = new ArrayDeque<>();
    private int requests;
    private int step;

    Entry(String name) {
      this.name = name;
      Members known = new Members(name, members);
      this.hubs = new HubSelector(() -> known, 4, clock);
      this.sender =
          new WorkReportSender(
              loads, () -> known, hubs, availability::toTell, this::send, Long.MAX_VALUE);
    }

    private void send(String to, PeerMessage message) {
      if (random.nextInt(10) > 0) {
        onTheWay.add(new Delivery(step + 1 + random.nextInt(MAX_DELAY_STEPS), name, to, message));
      }
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

    private Entry restarted() {
      Entry next = new Entry(name);
      next.samples.addAll(samples);
      return next;
    }

    private void changeRequests() {
      if (requests > 0 && random.nextBoolean()) {
        loads.onEnded(SERVER);
        requests--;
      } else if (requests < MAX_REQUESTS) {
        var unused = loads.onSent(SERVER, "m", List.of(), 100, 1000);
        requests++;
      }
      samples.add(new Sample(clock.read(), requests));
      while (clock.read() - samples.peekFirst().nanos() > REPORT_LIFE.toNanos()) {
        samples.removeFirst();
      }
    }

    private int mostOfLate() {
      return samples.stream().mapToInt(Sample::requests).max().orElse(0);
    }
  }
}
