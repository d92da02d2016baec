package org.guavagw.gateway.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.MeasurementReport;
import org.guavagw.gateway.internal.peers.Measurements;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Load: servers of three speeds, and one that turns slow, whose speed nobody states. */
class ServerSpeedTest {
  private static final double[] SPEEDS = {0.6, 1, 1.6};
  private static final int SAMPLES = 30;

  /** Speeds that differ by a quarter are told apart; the stated ones differ by 0.6. */
  private static final double TOLERANCE = 1.25;

  /** Every seventh time is two and a half times as long. */
  private static double noisyMillis(double millis, Random random) {
    double noise = 0.8 + 0.4 * random.nextDouble();
    return millis * noise * (random.nextInt(7) == 0 ? 2.5 : 1);
  }

  private static BackendServer server(int index) {
    return Samples.server("s" + index, "dc", "v1");
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void shouldTellThreeSpeedsApartWithinThirtyRequestsEach(long seed) {
    Random random = new Random(seed);
    LoadTracker loads = new LoadTracker();
    for (int i = 0; i < SAMPLES; i++) {
      for (int s = 0; s < SPEEDS.length; s++) {
        loads.onTime(server(s), "events", noisyMillis(30 / SPEEDS[s], random), 0);
      }
    }
    List<Double> learned = new ArrayList<>();
    for (int s = 0; s < SPEEDS.length; s++) {
      learned.add(loads.at(server(s), 0).speed());
      assertThat(loads.load(server(s)).avoidedAt(0)).isFalse();
    }
    assertThat(learned.get(1) / learned.get(0)).isGreaterThan(TOLERANCE);
    assertThat(learned.get(2) / learned.get(1)).isGreaterThan(TOLERANCE);
  }

  @Test
  void shouldLearnThatAServerTurnsSlow() {
    Random random = new Random(1);
    LoadTracker loads = new LoadTracker();
    for (int i = 0; i < 2 * SAMPLES; i++) {
      for (int s = 0; s < 4; s++) {
        double slowness = s == 0 && i >= SAMPLES ? 3 : 1;
        loads.onTime(server(s), "events", noisyMillis(30 * slowness, random), 0);
      }
    }
    assertThat(loads.at(server(0), 0).speed() * TOLERANCE)
        .isLessThan(loads.at(server(1), 0).speed());
  }

  @Test
  void shouldTakeAServerWithoutSamplesForAnAverageOne() {
    LoadTracker loads = new LoadTracker();
    assertThat(loads.at(server(0), 0).speed()).isEqualTo(1);
    loads.onTime(server(0), "events", 300, 0);
    assertThat(loads.at(server(0), 0).speed()).isEqualTo(1);
    for (int i = 0; i < SAMPLES; i++) {
      loads.onTime(server(0), "events", 300, 0);
    }
    assertThat(loads.at(Samples.restarted(server(0)), 0).speed()).isEqualTo(1);
  }

  /** Each of 24 entries sees few requests; together they know the speeds. */
  @Test
  void shouldLearnFromTheSamplesOfAllEntries() {
    Random random = new Random(2);
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      members.add(new Member("e" + i, "dc" + i % 3, "127.0.0.1", i + 1));
    }
    List<Entry> entries = new ArrayList<>();
    members.forEach(m -> entries.add(new Entry(m.name(), members, entries)));
    for (Entry entry : entries) {
      for (int i = 0; i < 6; i++) {
        for (int s = 0; s < SPEEDS.length; s++) {
          entry.loads.onTime(server(s), "events", noisyMillis(30 / SPEEDS[s], random), 0);
        }
      }
    }
    for (long tick = 1; tick <= 4; tick++) {
      for (Entry entry : entries) {
        entry.exchange.tick(tick * MeasurementExchange.PERIOD.toNanos());
        for (int step = 0; step < MeasurementExchange.STEPS; step++) {
          entry.exchange.sendSome();
        }
      }
    }
    for (Entry entry : entries) {
      double slow = entry.loads.at(server(0), 0).speed();
      double usual = entry.loads.at(server(1), 0).speed();
      double fast = entry.loads.at(server(2), 0).speed();
      assertThat(usual / slow).as(entry.name).isGreaterThan(TOLERANCE);
      assertThat(fast / usual).as(entry.name).isGreaterThan(TOLERANCE);
    }
    Measurements all = entries.get(0).known;
    double samples = all.servers().get(server(0).incarnation()).count();
    assertThat(samples).isLessThanOrEqualTo(24 * 6);
  }

  /** An entry whose messages arrive at once. */
  private static final class Entry {
    private final String name;
    private final LoadTracker loads = new LoadTracker();
    private final MeasurementExchange exchange;
    private Measurements known = Measurements.NONE;

    Entry(String name, List<Member> all, List<Entry> entries) {
      this.name = name;
      Members members = new Members(name, all);
      this.exchange =
          new MeasurementExchange(
              loads,
              () -> members,
              new HubSelector(() -> members, 4, new ManualClock()),
              (to, message) ->
                  entries.stream()
                      .filter(e -> e.name.equals(to))
                      .forEach(e -> e.receive(name, (MeasurementReport) message)),
              new GatewayMetrics());
    }

    private void receive(String from, MeasurementReport report) {
      if (report.scope() == MeasurementReport.Scope.ALL) {
        known = report.measurements();
      }
      exchange.onReport(from, report, MeasurementExchange.PERIOD.toNanos());
    }
  }
}
