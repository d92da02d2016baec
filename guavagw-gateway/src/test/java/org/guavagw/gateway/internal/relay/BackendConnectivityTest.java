package org.guavagw.gateway.internal.relay;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.Samples;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.model.BackendServer;
import org.junit.jupiter.api.Test;

class BackendConnectivityTest {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  private final ManualClock clock = new ManualClock();
  private final List<BackendServer> servers = new ArrayList<>();
  private final List<BackendServer> probes = new ArrayList<>();
  private final ByteArrayOutputStream events = new ByteArrayOutputStream();
  private final EventLog log =
      new EventLog("test", InstantSource.system(), new PrintStream(events, true, UTF_8));
  private final BackendConnectivity connectivity =
      new BackendConnectivity(probes::add, service -> servers, clock, log);

  @Test
  void shouldProbeTheOtherServersWhenAConnectionFails() {
    addServers(3);

    fail(servers.get(0));

    assertThat(probes).containsExactlyInAnyOrder(servers.get(1), servers.get(2));
    assertThat(isCutOff()).isFalse();
  }

  @Test
  void shouldBeCutOffWhenAllServersFail() {
    addServers(3);

    servers.forEach(this::fail);

    assertThat(isCutOff()).isTrue();
  }

  @Test
  void shouldNotBeCutOffWhenAServerWasReachedMeanwhile() {
    addServers(3);
    long begun = clock.read();
    clock.advance(CONNECT_TIMEOUT);
    connectivity.onConnected(servers.get(2));
    connectivity.onConnectFailed(servers.get(0), begun);
    connectivity.onConnectFailed(servers.get(1), begun);

    assertThat(isCutOff()).isFalse();
    assertThat(probes).isEmpty();
  }

  @Test
  void shouldNotAddUpFailuresBeforeAndAfterAConnectionThatCameAbout() {
    addServers(3);
    fail(servers.get(0));
    fail(servers.get(1));
    clock.advance(CONNECT_TIMEOUT);
    connectivity.onConnected(servers.get(0));
    clock.advance(CONNECT_TIMEOUT);

    fail(servers.get(2));

    assertThat(isCutOff()).isFalse();
  }

  @Test
  void shouldTakeAFewServersForAllOfALargeService() {
    addServers(100);

    fail(servers.get(0));
    assertThat(probes).hasSize(8);
    List.copyOf(probes).forEach(this::fail);

    assertThat(isCutOff()).isTrue();
  }

  @Test
  void shouldProbeWhileItIsCutOffAndNoticeAServerThatIsReachedAgain() {
    addServers(2);
    servers.forEach(this::fail);
    probes.clear();
    connectivity.tick();
    assertThat(probes).isEmpty();

    clock.advance(BackendConnectivity.PROBE_PERIOD);
    connectivity.tick();
    assertThat(probes).containsExactlyInAnyOrderElementsOf(servers);
    connectivity.onConnected(servers.get(1));

    assertThat(isCutOff()).isFalse();
  }

  @Test
  void shouldNotBeCutOffFromAServiceThatHasNoServersAnyMore() {
    addServers(1);
    fail(servers.get(0));
    assertThat(isCutOff()).isTrue();

    servers.clear();
    connectivity.retain(Set.of());

    assertThat(isCutOff()).isFalse();
  }

  @Test
  void shouldNotBeCutOffByTimeoutsWhileBytesAreReceived() {
    addServers(3);
    long begun = clock.read();
    clock.advance(CONNECT_TIMEOUT);
    connectivity.onReceived(servers.get(0));
    servers.forEach(server -> connectivity.onConnectTimedOut(server, begun));

    assertThat(isCutOff()).isFalse();
    assertThat(probes).isEmpty();
  }

  @Test
  void shouldNotCountTimeoutsThatBytesHaveFollowed() {
    addServers(2);
    timeOut(servers.get(0));
    connectivity.onReceived(servers.get(0));
    clock.advance(Duration.ofMillis(1));

    timeOut(servers.get(1));

    assertThat(isCutOff()).isFalse();
  }

  @Test
  void shouldBeCutOffByTimeoutsIfNothingIsReceived() {
    addServers(3);
    connectivity.onReceived(servers.get(0));
    clock.advance(CONNECT_TIMEOUT);

    servers.forEach(this::timeOut);

    assertThat(isCutOff()).isTrue();
  }

  @Test
  void shouldBeCutOffByTimeoutsIfOnlyAnotherDataCentreIsHeard() {
    addServers(2);
    long begun = clock.read();
    connectivity.onReceived(Samples.server("far", "dc2", "v1"));

    servers.forEach(server -> connectivity.onConnectTimedOut(server, begun));

    assertThat(isCutOff()).isTrue();
  }

  @Test
  void shouldBeCutOffByRefusalsWhileBytesAreReceivedOnOpenConnections() {
    addServers(2);
    long begun = clock.read();
    clock.advance(CONNECT_TIMEOUT);
    connectivity.onReceived(servers.get(0));

    servers.forEach(server -> connectivity.onConnectFailed(server, begun));

    assertThat(isCutOff()).isTrue();
  }

  @Test
  void shouldStateHowTheConnectionsFailed() {
    addServers(3);
    timeOut(servers.get(0));
    fail(servers.get(1));
    timeOut(servers.get(2));
    log.close();

    assertThat(events.toString(UTF_8))
        .contains("service_unreachable")
        .contains("\"failed_connections\":3,\"timed_out\":2,\"refused\":1");
  }

  private void addServers(int count) {
    for (int i = 0; i < count; i++) {
      servers.add(Samples.server("w" + i, "dc1", "v1"));
    }
  }

  private void fail(BackendServer server) {
    connectivity.onConnectFailed(server, clock.read());
  }

  private void timeOut(BackendServer server) {
    connectivity.onConnectTimedOut(server, clock.read());
  }

  private boolean isCutOff() {
    return connectivity.isCutOff(servers.isEmpty() ? "engine" : servers.get(0).service());
  }
}
