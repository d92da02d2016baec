package org.guavagw.gateway.internal.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.metrics.GatewayMetrics;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.MeasurementReport;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.QuarantineNotices;
import org.guavagw.gateway.internal.peers.ServerNotices;
import org.guavagw.gateway.model.BackendServer;
import org.guavagw.internal.peer.PeerCodec;
import org.guavagw.internal.peer.PeerMessage;
import org.junit.jupiter.api.Test;

/** What a hub with many followers and a slow link sends of the load of backend servers. */
class HubReportsTest {
  private static final int ENTRIES = 27;
  private static final int SERVERS = 126;
  private static final long LINK_BYTES_PER_SECOND = 7_000_000 / 8;
  private static final Duration TIME = Duration.ofSeconds(10);
  private static final int SAMPLES = 10;

  /** Most of the link is for the requests of callers. */
  private static final double MAX_LINK_PART = 0.25;

  /** A third of the time in which a connection to a backend server must be made. */
  private static final double MAX_BUSY_SECONDS = 0.1;

  private final ManualClock clock = new ManualClock();
  private final PeerCodec codec = new PeerCodec();
  private final LoadTracker loads = new LoadTracker();
  private final Map<String, Integer> messages = new HashMap<>();
  private final Members members = members();
  private final HubSelector hubs = new HubSelector(() -> members, 4, clock);
  private long bytesInTick;
  private long bytes;
  private long mostInTick;

  @Test
  void shouldLeaveMostOfItsLinkToRequests() {
    var sender =
        new WorkReportSender(
            loads,
            () -> members,
            hubs,
            now -> ServerNotices.NONE,
            this::send,
            LINK_BYTES_PER_SECOND);

    run(() -> sender.tick(clock.read()));

    assertThat(messages).hasSize(ENTRIES - 1);
    assertThat(bytes / (double) LINK_BYTES_PER_SECOND)
        .isLessThanOrEqualTo(MAX_LINK_PART * TIME.toSeconds());
    assertThat(mostInTick / (double) LINK_BYTES_PER_SECOND).isLessThanOrEqualTo(MAX_BUSY_SECONDS);
  }

  @Test
  void shouldLeaveMostOfItsLinkToRequestsWhileServersTurnRequestsAway() {
    var sender =
        new WorkReportSender(
            loads,
            () -> members,
            hubs,
            now -> notices(Map.of(), now),
            this::send,
            LINK_BYTES_PER_SECOND);

    run(() -> sender.tick(clock.read()));

    assertThat(bytes / (double) LINK_BYTES_PER_SECOND)
        .isLessThanOrEqualTo(MAX_LINK_PART * TIME.toSeconds());
  }

  @Test
  void shouldLeaveMostOfItsLinkToRequestsWhileManyServersAreBrittle() {
    Map<String, Double> brittle = new HashMap<>();
    for (int i = 0; i < SERVERS; i++) {
      brittle.put(incarnation(i), 5.0);
    }
    var sender =
        new WorkReportSender(
            loads,
            () -> members,
            hubs,
            now -> notices(brittle, now),
            this::send,
            LINK_BYTES_PER_SECOND);

    run(() -> sender.tick(clock.read()));

    assertThat(bytes / (double) LINK_BYTES_PER_SECOND)
        .isLessThanOrEqualTo(MAX_LINK_PART * TIME.toSeconds());
  }

  /** Each tick another server has turned a request away, which is reported for 500 ms. */
  private ServerNotices notices(Map<String, Double> brittle, long nanos) {
    long tick = nanos / WorkReportSender.PERIOD.toNanos();
    Set<String> full = new HashSet<>();
    for (long i = tick; i > tick - 5; i--) {
      full.add(incarnation(i % SERVERS));
    }
    return new ServerNotices(Set.of(), Map.of(), brittle, full, QuarantineNotices.NONE);
  }

  @Test
  void shouldNotSendItsMeasurementsToAllFollowersAtOnce() {
    var exchange =
        new MeasurementExchange(loads, () -> members, hubs, this::send, new GatewayMetrics());

    run(
        () -> {
          if (clock.read() % MeasurementExchange.PERIOD.toNanos() == 0) {
            exchange.tick(clock.read());
          }
          exchange.sendSome();
        });

    assertThat(messages).hasSize(ENTRIES - 1);
    assertThat(messages.values())
        .allMatch(n -> n >= TIME.dividedBy(MeasurementExchange.PERIOD) - 1);
    assertThat(mostInTick / (double) LINK_BYTES_PER_SECOND).isLessThanOrEqualTo(MAX_BUSY_SECONDS);
  }

  private void run(Runnable tick) {
    List<BackendServer> servers = new ArrayList<>();
    Set<String> incarnations = new HashSet<>();
    for (int i = 0; i < SERVERS; i++) {
      BackendServer server = Samples.server(incarnation(i), "dc1", "v1");
      servers.add(server);
      incarnations.add(server.incarnation());
      for (int n = 0; n < SAMPLES; n++) {
        loads.onTime(server, "events", 30, 0);
      }
    }
    for (long t = 0; t < TIME.toMillis(); t += WorkReportSender.PERIOD.toMillis()) {
      clock.advance(WorkReportSender.PERIOD);
      loads.retain(incarnations, clock.read());
      servers.forEach(s -> loads.onSent(s, "m", List.of(), 100, 1000));
      tick.run();
      mostInTick = Math.max(mostInTick, bytesInTick);
      bytesInTick = 0;
    }
  }

  private static String incarnation(long number) {
    return "i-%010x".formatted(number * 0x9e3779b97fL);
  }

  private void send(String receiver, PeerMessage message) {
    messages.merge(receiver, 1, Integer::sum);
    boolean toFollower =
        !(message instanceof MeasurementReport report)
            || report.scope() == MeasurementReport.Scope.ALL;
    assertThat(toFollower).isTrue();
    int length = codec.encode(message).length;
    bytes += length;
    bytesInTick += length;
  }

  private Members members() {
    List<Member> all = new ArrayList<>();
    for (int i = 0; i < ENTRIES; i++) {
      all.add(new Member("e" + i, "dc1", "127.0.0.1", i + 1));
    }
    String hub = new Members("e0", all).rankedLocalMembers().get(0).name();
    return new Members(hub, all);
  }
}
