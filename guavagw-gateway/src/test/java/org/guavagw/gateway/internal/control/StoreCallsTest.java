package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How many calls a deployment makes to the store, and that it stays up to date with so few. */
class StoreCallsTest {
  private static final int ENTRIES = 80;
  private static final int DATA_CENTRES = 4;
  private static final Duration CONFIG_LIMIT = Duration.ofSeconds(2);

  /** Time after a fault by which an entry must keep all limits again. */
  private static final Duration CONTACT = Duration.ofSeconds(3);

  /** Two polls for orders by the one reader of the region, and the longer ones of other tables. */
  private static final int STEADY_CALLS_PER_SECOND = 3;

  private final SimulatedDeployment deployment = new SimulatedDeployment(ENTRIES, CONFIG_LIMIT);

  @AfterEach
  void close() {
    deployment.close();
  }

  @Test
  void shouldStartWithAReadAWriteAndTwoPollsOfMostEntries() {
    assertThat(deployment.store().calls())
        .isLessThan(4 * ENTRIES + 6 * STEADY_CALLS_PER_SECOND + 20 * DATA_CENTRES);
    assertThat(deployment.confirmedWithin(CONFIG_LIMIT)).hasSize(ENTRIES);
    assertThat(deployment.hubs()).hasSize(1);
  }

  @Test
  void shouldCallTheStoreFromOneEntryOfTheRegion() {
    int before = deployment.store().calls();

    deployment.advance(Duration.ofSeconds(20));

    assertThat(deployment.store().calls() - before).isLessThan(20 * STEADY_CALLS_PER_SECOND);
  }

  @Test
  void shouldStartAgainWithOneReadWhereOthersRun() {
    List<String> restarted = followers().subList(0, 20);
    restarted.forEach(deployment::kill);
    int before = deployment.store().calls();

    restarted.forEach(deployment::restart);
    deployment.advance(Duration.ofSeconds(1));

    assertThat(deployment.store().calls() - before)
        .isLessThan(restarted.size() + 2 * STEADY_CALLS_PER_SECOND);
    assertThat(deployment.confirmedWithin(CONFIG_LIMIT)).hasSize(ENTRIES);
  }

  @Test
  void shouldStartAgainWithFewReadsWhereNobodyRuns() {
    List<String> all = deployment.running();
    all.forEach(deployment::kill);
    int before = deployment.store().calls();

    all.forEach(deployment::restart);
    deployment.advance(Duration.ofSeconds(2));

    assertThat(deployment.confirmedWithin(CONFIG_LIMIT)).hasSize(ENTRIES);
    assertThat(deployment.store().calls() - before)
        .isLessThan(2 * ENTRIES + 2 * STEADY_CALLS_PER_SECOND + 10 * DATA_CENTRES);
  }

  @Test
  void shouldReplaceAReaderThatDied() {
    int before = deployment.store().calls();
    deployment.kill(deployment.hubs().get(0));

    deployment.store().put("orders", "config", "config 2");
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.withConfig(2)).hasSize(ENTRIES - 1);
    assertThat(deployment.store().calls() - before).isLessThan(ENTRIES / 2);
  }

  @Test
  void shouldReplaceAReaderThatReachesNoOtherEntry() {
    int before = deployment.store().calls();
    deployment.cutOffFromPeers(deployment.hubs().get(0));

    deployment.store().put("orders", "config", "config 2");
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.withConfig(2)).hasSize(ENTRIES);
    assertThat(deployment.store().calls() - before).isLessThan(ENTRIES / 2);
  }

  @Test
  void shouldReplaceAReaderThatTheStoreRefuses() {
    int before = deployment.store().calls();
    String reader = deployment.hubs().get(0);
    deployment.store().refuse(reader);

    deployment.store().put("orders", "config", "config 2");
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.withConfig(2)).hasSizeGreaterThanOrEqualTo(ENTRIES - 1);
    deployment.advance(CONFIG_LIMIT);
    assertThat(deployment.confirmedWithin(CONFIG_LIMIT)).hasSizeGreaterThanOrEqualTo(ENTRIES - 1);
    assertThat(deployment.store().calls() - before).isLessThan(ENTRIES);
  }

  @Test
  void shouldReplaceAReaderWhoseStoreIsSilent() {
    deployment.store().cutOff(deployment.hubs().get(0));

    deployment.store().put("orders", "config", "config 2");
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.withConfig(2)).hasSizeGreaterThanOrEqualTo(ENTRIES - 1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"dc0", "dc1", "dc2", "dc3"})
  void shouldReadTheStoreInADataCentreThatReachesNoOther(String dataCentre) {
    deployment.cutOffDataCentre(dataCentre);

    deployment.store().put("orders", "config", "config 2");
    deployment.advance(CONFIG_LIMIT);

    assertThat(deployment.withConfig(2)).hasSize(ENTRIES);
  }

  @Test
  void shouldFindTheStoreAgainThroughAFewReaders() {
    int before = deployment.store().calls();
    deployment.running().forEach(deployment.store()::refuse);
    deployment.advance(Duration.ofMillis(4500));
    deployment.running().forEach(deployment.store()::heal);
    deployment.store().put("orders", "config", "config 2");
    deployment.advance(CONTACT);

    assertThat(deployment.withConfig(2)).hasSize(ENTRIES);
    assertThat(deployment.store().calls() - before)
        .isLessThan(4 * ENTRIES + 3 * STEADY_CALLS_PER_SECOND);
  }

  @Test
  void shouldFindAStoreAgainThatWasSilent() {
    int before = deployment.store().calls();
    deployment.running().forEach(deployment.store()::cutOff);
    deployment.advance(Duration.ofMillis(4500));
    deployment.running().forEach(deployment.store()::heal);
    deployment.store().put("orders", "config", "config 2");
    deployment.advance(CONTACT);

    assertThat(deployment.withConfig(2)).hasSize(ENTRIES);
    assertThat(deployment.store().calls() - before)
        .isLessThan(4 * ENTRIES + 3 * STEADY_CALLS_PER_SECOND);
  }

  @Test
  void shouldReadTheStoreItselfWhereAllReadersAreRefused() {
    List<String> refused = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      List<String> hubs = new ArrayList<>(deployment.hubs());
      hubs.removeAll(refused);
      hubs.forEach(deployment.store()::refuse);
      refused.addAll(hubs);
      deployment.advance(Duration.ofSeconds(2));
    }

    deployment.advance(CONTACT);

    assertThat(deployment.confirmedWithin(CONFIG_LIMIT)).hasSize(ENTRIES - refused.size());
  }

  private List<String> followers() {
    List<String> followers = new ArrayList<>(deployment.running());
    followers.removeAll(deployment.hubs());
    return followers;
  }
}
