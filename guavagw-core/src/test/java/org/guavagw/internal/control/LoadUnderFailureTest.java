package org.guavagw.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.guavagw.internal.config.TestConfigs;
import org.guavagw.internal.load.LoadReport;
import org.guavagw.internal.load.ServerLoad;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LoadUnderFailureTest {
  private static final Duration SETTLE = Duration.ofSeconds(12);
  private static final String SERVER = "worker-0";

  private final TestCluster cluster = new TestCluster();

  @BeforeEach
  void start() {
    cluster.accept(TestConfigs.withServers("kingston", 3, 32));
    cluster.setServer(SERVER, load("boot-1", "warm", 20));
    cluster.startDataCentre("kingston", 6);
    cluster.startDataCentre("may-pen", 2);
    cluster.run(SETTLE);
  }

  @Test
  void shouldDistributeTheReportOfOnePollerWithinTheDataCentre() {
    cluster.pollsOf(SERVER).clear();
    cluster.run(Duration.ofSeconds(10));

    assertThat(kingstonEntries())
        .allMatch(e -> e.load(SERVER).map(LoadReport::running).get() == 20);
    assertThat(Set.copyOf(cluster.pollsOf(SERVER))).hasSize(1);
    assertThat(cluster.entry("may-pen-0").load(SERVER)).isEmpty();
  }

  @Test
  void shouldReportAColdStartToAllEntriesWithinSeconds() {
    cluster.setServer(SERVER, load("boot-2", "cold", 0));
    cluster.run(Duration.ofSeconds(6));

    assertThat(kingstonEntries())
        .allSatisfy(
            e -> {
              assertThat(e.load(SERVER).get().cold()).isTrue();
              assertThat(e.load(SERVER).get().bootId()).isEqualTo("boot-2");
            });
  }

  @Test
  void shouldContinuePollingWhenThePollerDies() {
    List<String> polls = cluster.pollsOf(SERVER);
    String poller = polls.get(polls.size() - 1);
    cluster.peers().kill(poller);
    cluster.entry(poller).loads().close();
    cluster.run(Duration.ofSeconds(10));
    cluster.setServer(SERVER, load("boot-1", "warm", 3));
    cluster.run(Duration.ofSeconds(6));

    assertThat(kingstonEntries())
        .filteredOn(e -> !e.id().equals(poller))
        .allMatch(e -> e.load(SERVER).get().running() == 3);
  }

  @Test
  void shouldShowTheAgeOfAReportAndDropItWhenItIsTooOld() {
    cluster.setServer(SERVER, null);
    cluster.run(Duration.ofSeconds(30));
    assertThat(kingstonEntries())
        .allMatch(e -> e.load(SERVER).get().age().compareTo(Duration.ofSeconds(29)) > 0);

    cluster.run(Duration.ofSeconds(40));
    assertThat(kingstonEntries()).allMatch(e -> e.load(SERVER).isEmpty());
  }

  private List<TestEntry> kingstonEntries() {
    return cluster.entries().stream().filter(e -> e.dataCentre().equals("kingston")).toList();
  }

  private static ServerLoad load(String bootId, String state, int running) {
    return new ServerLoad(bootId, state, running, 0, 32, List.of("small@v1"), List.of(), "mixed");
  }
}
