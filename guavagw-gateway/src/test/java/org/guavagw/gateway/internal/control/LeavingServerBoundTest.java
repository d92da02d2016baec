package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How long entries use a backend server whose registration says that it left. */
class LeavingServerBoundTest {
  private static final String SERVER = "w1";
  private static final String TABLE = "backends";

  /** Time after a fault by which an entry must keep all limits again. */
  private static final Duration CONTACT = Duration.ofSeconds(3);

  @ParameterizedTest
  @CsvSource({
    "78, 3, 3, 6500", "78, 3, 3, 7000", "78, 3, 3, 7500", "78, 3, 3, 8000",
    "24, 2, 2, 6500", "24, 2, 2, 7000", "24, 2, 2, 7500", "24, 2, 2, 8000"
  })
  void shouldNotUseAServerThatLeftAfterAHubHadLostTheStoreForAWhile(
      int entries, int configSeconds, int limitSeconds, int cutOffMillis) {
    for (int millisAfterReturn = 0; millisAfterReturn <= 3000; millisAfterReturn += 250) {
      try (SimulatedDeployment deployment = start(entries, configSeconds)) {
        String hub = deployment.hubs().get(0);
        deployment.store().cutOff(hub);
        deployment.advance(Duration.ofMillis(cutOffMillis));
        deployment.store().heal(hub);
        deployment.advance(Duration.ofMillis(millisAfterReturn));

        deployment.store().remove(TABLE, SERVER);
        deployment.advance(Duration.ofSeconds(limitSeconds));

        assertThat(deployment.using(SERVER))
            .as("removed %d ms after the return", millisAfterReturn)
            .allMatch(hub::equals);
        deployment.advance(CONTACT);
        assertThat(deployment.using(SERVER)).isEmpty();
      }
    }
  }

  @ParameterizedTest
  @CsvSource({"78, 3, 3", "24, 2, 2", "8, 2, 2"})
  void shouldNotUseAServerThatLeftWhileTheStoreWasSilentOnOpenConnections(
      int entries, int configSeconds, int limitSeconds) {
    try (SimulatedDeployment deployment = start(entries, configSeconds)) {
      List<String> hubs = deployment.hubs();
      hubs.forEach(deployment.store()::silence);
      deployment.advance(CONTACT);

      deployment.store().put(TABLE, SERVER, "draining");
      deployment.advance(Duration.ofSeconds(limitSeconds));

      assertThat(deployment.using(SERVER)).isEmpty();
    }
  }

  @ParameterizedTest
  @CsvSource({"78, 3, 3", "24, 2, 2", "8, 2, 2"})
  void shouldNotUseAServerThatLeftWhenOnlyThatAnswerWasLost(
      int entries, int configSeconds, int limitSeconds) {
    try (SimulatedDeployment deployment = start(entries, configSeconds)) {
      deployment.hubs().forEach(hub -> deployment.store().silence(hub, TABLE));

      deployment.store().put(TABLE, SERVER, "draining");
      deployment.advance(Duration.ofSeconds(limitSeconds));

      assertThat(deployment.using(SERVER)).isEmpty();
    }
  }

  @Test
  void shouldKeepServersWhoseRegistrationsLapsedWithTheStore() {
    try (SimulatedDeployment deployment = start(78, 3)) {
      List<String> everyone = deployment.using(SERVER);
      everyone.forEach(deployment.store()::cutOff);
      deployment.advance(Duration.ofSeconds(6));
      deployment.store().remove(TABLE, SERVER);
      everyone.forEach(deployment.store()::heal);
      for (int i = 0; i < 18; i++) {
        deployment.advance(Duration.ofMillis(100));
        assertThat(deployment.using(SERVER)).hasSameSizeAs(everyone);
      }
      deployment.store().put(TABLE, SERVER, "ready");
      deployment.advance(CONTACT);
      assertThat(deployment.using(SERVER)).hasSameSizeAs(everyone);
    }
  }

  private static SimulatedDeployment start(int entries, int configSeconds) {
    SimulatedDeployment deployment =
        new SimulatedDeployment(entries, Duration.ofSeconds(configSeconds));
    deployment.store().put(TABLE, SERVER, "ready");
    deployment.advance(Duration.ofSeconds(2));
    assertThat(deployment.using(SERVER)).hasSize(entries);
    return deployment;
  }
}
