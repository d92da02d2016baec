package org.guavagw.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.guavagw.internal.config.TestConfigs;
import org.guavagw.internal.membership.DataCentreSummary;
import org.guavagw.platform.Vm;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigUnderFailureTest {
  private static final Duration SETTLE = Duration.ofSeconds(10);
  private static final Duration IN_FORCE = Duration.ofSeconds(7);

  private final TestCluster cluster = new TestCluster();

  @BeforeEach
  void start() {
    accept(1);
    cluster.startDataCentre("kingston", 5);
    cluster.startDataCentre("may-pen", 4);
    cluster.run(SETTLE);
  }

  @Test
  void shouldDistributeFromTheOnlyEntryThatReachesThePlatform() {
    cluster.setTablesDown(true);
    TestEntry reader = cluster.entry("may-pen-3");
    reader.tables().setReadsDown(false);
    long revision = accept(2);
    reader.configDistributor().readNow();
    cluster.run(IN_FORCE);

    assertThat(cluster.entries()).allMatch(e -> e.revision() == revision);
  }

  @Test
  void shouldConfigureANewMemberFromPeersWhileThePlatformIsDown() {
    cluster.setVmListDown(true);
    Vm vm = TestCluster.vm("kingston", 9);
    TestEntry joiner = cluster.start(vm, List.of(TestCluster.vm("may-pen", 0)));
    joiner.tables().setReadsDown(true);
    cluster.setTablesDown(true);
    cluster.run(SETTLE);

    assertThat(joiner.revision()).isEqualTo(1);
    assertThat(joiner.aliveIds()).hasSize(10);
    assertThat(cluster.entry("may-pen-2").aliveIds()).contains("kingston-9");
  }

  @Test
  void shouldBeUnconfirmedDuringAPartitionAndCatchUpAfterIt() {
    cluster.peers().partition((a, b) -> a.startsWith("kingston") && b.startsWith("may-pen"));
    disconnectFromPlatform("kingston");
    long revision = accept(2);
    cluster.run(Duration.ofSeconds(20));
    TestEntry cutOff = cluster.entry("kingston-1");
    assertThat(cutOff.revision()).isEqualTo(1);
    assertThat(cutOff.configDistributor().freshness().isConfirmed()).isFalse();
    assertThat(cluster.entry("may-pen-1").configDistributor().freshness().isConfirmed()).isTrue();

    cluster.peers().partition((a, b) -> false);
    cluster.run(IN_FORCE);
    assertThat(cluster.entries()).allMatch(e -> e.revision() == revision);
    assertThat(cutOff.configDistributor().freshness().isConfirmed()).isTrue();
  }

  @Test
  void shouldNotCountADataCentreAsInForceWhileOneOfItsEntriesIsCutOff() {
    cluster.peers().partition((a, b) -> a.equals("kingston-2"));
    cluster.entry("kingston-2").tables().setReadsDown(true);
    long revision = accept(2);
    cluster.run(SETTLE.multipliedBy(2));

    TestEntry observer = cluster.entry("may-pen-0");
    assertThat(observer.configDistributor().isInForce("may-pen", revision)).isTrue();
    assertThat(observer.configDistributor().isInForce("kingston", revision)).isFalse();
    assertThat(observer.configDistributor().dataCentres())
        .filteredOn(s -> s.dataCentre().equals("kingston"))
        .flatExtracting(DataCentreSummary::behind)
        .containsExactly("kingston-2");

    cluster.peers().partition((a, b) -> false);
    cluster.run(SETTLE.multipliedBy(2));
    assertThat(observer.configDistributor().isInForce("kingston", revision)).isTrue();
  }

  @Test
  void shouldBringEveryEntryToTheNewestRevisionAfterABurstOfChanges() {
    long revision = 0;
    for (int i = 2; i < 200; i++) {
      revision = accept(i);
      cluster.run(Duration.ofMillis(60));
    }
    cluster.run(IN_FORCE);

    long newest = revision;
    assertThat(cluster.entries()).allMatch(e -> e.revision() == newest);
    assertThat(cluster.entries())
        .allMatch(e -> e.configs().current().config().backendServers().get(0).slots() == newest);
  }

  private void disconnectFromPlatform(String dataCentre) {
    cluster.entries().stream()
        .filter(e -> e.dataCentre().equals(dataCentre))
        .forEach(e -> e.tables().setReadsDown(true));
  }

  private long accept(int slots) {
    return cluster.accept(TestConfigs.withServers("kingston", 2, slots));
  }
}
