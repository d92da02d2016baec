package org.guavagw.gateway.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;

class WorkReportSenderTest {
  private static final BackendServer SERVER = Samples.server("w1", "dc1", "v1");

  private final ManualClock clock = new ManualClock();
  private final List<Member> all = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
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

  private void run(Duration time) {
    for (long t = 0; t < time.toMillis(); t += WorkReportSender.PERIOD.toMillis()) {
      clock.advance(WorkReportSender.PERIOD);
      entries.forEach(e -> e.loads.retain(Set.of(SERVER.incarnation()), clock.read()));
      entries.forEach(e -> e.sender.tick(clock.read()));
    }
  }

  /** An entry with its load tracker. */
  private final class Entry {
    private final String name;
    private final LoadTracker loads = new LoadTracker();
    private final WorkReportSender sender;

    Entry(String name) {
      this.name = name;
      Members members = new Members(name, all);
      this.sender =
          new WorkReportSender(
              loads,
              () -> members,
              new HubSelector(() -> members, clock),
              (to, report) -> {
                messages++;
                entries.stream()
                    .filter(e -> e.name.equals(to))
                    .forEach(e -> e.loads.onReport(name, report, clock.read()));
              });
    }

    void send(int requests) {
      for (int i = 0; i < requests; i++) {
        var unused = loads.onSent(SERVER, "m", List.of(), 100, 1000);
      }
    }
  }
}
