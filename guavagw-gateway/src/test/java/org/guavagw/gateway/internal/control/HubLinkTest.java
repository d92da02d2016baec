package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HexFormat;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** How long the control state takes the link of a hub, which its callers' requests share. */
class HubLinkTest {
  private static final int ENTRIES = 108;
  private static final int SERVERS = 63;
  private static final int ROUTES = 50;
  private static final int TEAMS = 24;
  private static final int KEY_BYTES = 16;
  private static final Duration CONFIG_LIMIT = Duration.ofSeconds(2);

  /** A third of the time in which a connection to a backend server must be made. */
  private static final Duration MAX_BUSY = Duration.ofMillis(100);

  private final Random random = new Random(1);
  private final SimulatedDeployment deployment = new SimulatedDeployment(ENTRIES, CONFIG_LIMIT);
  private final SimulatedLinks links =
      deployment.measureLinks(SimulatedDeployment.LINK_BYTES_PER_SECOND);

  @AfterEach
  void close() {
    deployment.close();
  }

  @Test
  void shouldSendAChangedConfigurationToAllFollowersWithinAPartOfItsLink() {
    deployment.store().put("orders", "config", config(2));
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.withConfig(2)).hasSize(ENTRIES);
    assertThat(links.longestBusy()).isLessThanOrEqualTo(MAX_BUSY);
  }

  @Test
  void shouldSendManyRegistrationsToAllFollowersWithinAPartOfItsLink() {
    for (int i = 0; i < SERVERS; i++) {
      deployment.store().put("backends", "w" + i, server(i));
    }
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.using("w" + (SERVERS - 1))).hasSize(ENTRIES);
    assertThat(links.longestBusy()).isLessThanOrEqualTo(MAX_BUSY);
  }

  @Test
  void shouldSendAConfigurationAndManyRegistrationsTogetherWithinAPartOfItsLink() {
    for (int i = 0; i < SERVERS; i++) {
      deployment.store().put("backends", "w" + i, server(i));
    }
    deployment.advance(Duration.ofMillis(500));
    deployment.store().put("orders", "config", config(2));
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.withConfig(2)).hasSize(ENTRIES);
    assertThat(links.longestBusy()).isLessThanOrEqualTo(MAX_BUSY);
  }

  private String config(int version) {
    return "config "
        + version
        + " "
        + IntStream.range(0, ROUTES).mapToObj(this::route).collect(Collectors.joining(","))
        + IntStream.range(0, TEAMS).mapToObj(this::team).collect(Collectors.joining(","));
  }

  private String route(int i) {
    return ("{\"name\":\"route-%02d\",\"host\":\"host-%d.example.test\",\"path\":\"/v1/p-%02d/\","
            + "\"kind\":\"%s\",\"timeoutMillis\":30000,\"targetMillis\":%d,\"rank\":%d,"
            + "\"models\":[\"small\",\"large\"],\"shares\":[{\"name\":\"first\",\"weight\":%d},"
            + "{\"name\":\"second\",\"weight\":10}],\"attempts\":%d,\"open\":false,"
            + "\"keepsSessions\":%b,\"continues\":%b}")
        .formatted(
            i,
            i % 12,
            i,
            i % 2 == 0 ? "stream" : "idempotent",
            200 + random.nextInt(800),
            random.nextInt(4),
            random.nextInt(100),
            1 + random.nextInt(3),
            random.nextBoolean(),
            random.nextBoolean());
  }

  private String team(int i) {
    return "{\"name\":\"team-%02d\",\"rank\":%d,\"keys\":[\"key-%s\",\"key-%s\"]}"
        .formatted(i, i % 4, key(), key());
  }

  private String key() {
    byte[] key = new byte[KEY_BYTES];
    random.nextBytes(key);
    return HexFormat.of().formatHex(key);
  }

  private String server(int i) {
    return ("ready {\"kind\":\"engine\",\"address\":\"10.0.%d.%d:8%03d\",\"dataCentre\":\"dc%d\","
            + "\"version\":\"v2\",\"slots\":8,\"state\":\"ready\",\"coldMillis\":%d,"
            + "\"started\":17000%08d}")
        .formatted(i % 4, i, i, i % 4, random.nextInt(5000), random.nextInt(100_000_000));
  }
}
