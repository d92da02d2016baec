package org.guavagw.internal.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.guavagw.config.GatewayConfig;
import org.guavagw.platform.RowKey;
import org.guavagw.standins.table.InMemoryTableService;
import org.junit.jupiter.api.Test;

class TableConfigHistoryTest {
  private static final String DC = "aswan-hq";

  private final InMemoryTableService store = new InMemoryTableService();
  private final FaultInjectingTableService tables = new FaultInjectingTableService(store);
  private final TableConfigHistory history = new TableConfigHistory(tables, InstantSource.system());

  @Test
  void shouldAcceptOnlyOneOfTwoConcurrentChanges() {
    TableConfigHistory rival = new TableConfigHistory(store, InstantSource.system());
    tables.beforeCommit(
        () -> {
          tables.beforeCommit(() -> {});
          assertThat(rival.apply(change("theirs", 0, servers(1))).isRight()).isTrue();
        });

    assertThat(history.apply(change("ours", 0, servers(2))).getLeft())
        .isEqualTo(new ConfigFailure.Conflict(1));
    assertThat(history.latest().get()).isEqualTo(new RevisionedConfig(1, servers(1)));
  }

  @Test
  void shouldDetectThatAChangeWasAcceptedWhenItsAnswerWasLost() {
    tables.loseNextAnswer();

    assertThat(history.apply(change("a", 0, servers(1))).get().revision()).isEqualTo(1);
  }

  @Test
  void shouldReturnTheSameRevisionWhenAChangeOfUnknownOutcomeIsRepeated() {
    tables.loseNextAnswer();
    tables.beforeCommit(() -> tables.setReadsDown(true));
    assertThat(history.apply(change("a", 0, servers(1))).getLeft())
        .isEqualTo(new ConfigFailure.OutcomeUnknown("a"));

    tables.setReadsDown(false);
    tables.beforeCommit(() -> {});
    history.apply(change("b", 1, servers(2)));

    assertThat(history.apply(change("a", 0, servers(1))).get().revision()).isEqualTo(1);
    assertThat(history.latest().get().revision()).isEqualTo(2);
  }

  @Test
  void shouldRefuseAChangeIdThatWasUsedForAnotherConfiguration() {
    history.apply(change("a", 0, servers(1)));

    assertThat(history.apply(change("a", 0, servers(2))).getLeft())
        .isEqualTo(new ConfigFailure.Conflict(1));
  }

  @Test
  void shouldFailWhenTheHeadRowIsOlderThanTheKnownRevision() {
    history.apply(change("a", 0, servers(1)));
    RevisionedConfig newer = new RevisionedConfig(2, servers(2));

    assertThat(history.since(newer).isLeft()).isTrue();
  }

  @Test
  void shouldStoreALargeConfigurationInRowsOfLimitedSize() {
    GatewayConfig large = servers(20_000);

    history.apply(change("large", 0, large));

    assertThat(history.latest().get().config()).isEqualTo(large);
    List<byte[]> rows = new ArrayList<>();
    store.range(ConfigRows.CHECKPOINTS, "", "~", 100).get().forEach(r -> rows.add(r.value()));
    assertThat(rows).hasSizeGreaterThan(1);
    assertThat(rows).allMatch(r -> r.length <= ConfigRows.MAX_ROW_BYTES);
    RowKey first = ConfigRows.revision(1);
    assertThat(store.read(first).get().get().value().length)
        .isLessThanOrEqualTo(ConfigRows.MAX_ROW_BYTES);
  }

  @Property(tries = 20, seed = "42")
  void shouldReadTheNewestConfigurationFromAnyKnownRevision(
      @ForAll @Size(min = 1, max = 90) List<@IntRange(min = 0, max = 6) Integer> counts) {
    TableConfigHistory fresh =
        new TableConfigHistory(new InMemoryTableService(), InstantSource.system());
    List<RevisionedConfig> known = new ArrayList<>(List.of(RevisionedConfig.NONE));
    for (int count : counts) {
      long revision = known.size() - 1L;
      ConfigChange next = change("c" + revision, revision, servers(count));
      known.add(fresh.apply(next).get());
    }

    RevisionedConfig newest = known.get(known.size() - 1);
    for (RevisionedConfig from : known) {
      RevisionedConfig read = fresh.since(from).get().config();
      assertThat(read.revision()).isEqualTo(newest.revision());
      assertThat(ConfigDelta.sameContent(read.config(), newest.config())).isTrue();
    }
  }

  private static GatewayConfig servers(int count) {
    return TestConfigs.withServers(DC, count, 4);
  }

  private static ConfigChange change(String id, long expected, GatewayConfig config) {
    return new ConfigChange(id, "operator", "", expected, config);
  }
}
