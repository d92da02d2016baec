package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.CompressedReplicaAnswer;
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.internal.peers.ReplicaRows;
import org.guavagw.gateway.internal.peers.ReplicaRowsCodec;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class HubFollowerTest {
  private static final String TABLE = "orders";

  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final EventLog log = new EventLog("test", InstantSource.system(), System.out);
  private final List<String> changedKeys = new ArrayList<>();
  private final TableReplica replica = new TableReplica(TABLE, new KeyCollector());
  private final Deque<CompletableFuture<PeerMessage>> pendingQueries = new ArrayDeque<>();
  private final List<StoredRow> newerConfigs = new ArrayList<>();
  private boolean pollsStore;
  private boolean pollsStoreSlowly;
  private boolean lapsesExpected;
  private HubFollower follower;

  @BeforeEach
  void start() {
    control.freezeTime();
    Members members = new Members("entry-9", tenEntries());
    follower =
        new HubFollower(
            List.of(replica),
            replica,
            new StoreEra(previous -> {}),
            HubTiming.within(Duration.ofSeconds(2)),
            new HubSelector(() -> members, 4, clock),
            (entry, message, timeout) -> {
              CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
              pendingQueries.add(answer);
              return answer;
            },
            () -> true,
            new PollingRecorder(),
            new HubListener() {
              @Override
              public void onLapsesExpected(boolean expected, boolean afterGap) {
                lapsesExpected |= expected && afterGap;
              }

              @Override
              public void onNewerConfig(StoredRow row) {
                newerConfigs.add(row);
              }

              @Override
              public void onReplicated() {
                // nobody follows this entry
              }
            },
            control.eventLoop(),
            clock.clocks(),
            log);
    follower.start();
    replica.applySnapshot(
        new RowBatch(List.of(), 0, 1, 1), ClockReading.now(clock.clocks()), clock.read());
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldAskAHubBeforeItPollsTheStore() {
    follower.onReplicaChanged();

    answer(Duration.ZERO, row("a", 2));
    advance(HubFollower.MAX_SEARCH_TIME);

    assertThat(pollsStore).isFalse();
    assertThat(changedKeys).containsExactly("a");
    assertThat(pendingQueries).hasSize(1);
  }

  @Test
  void shouldPollTheStoreUntilAHubHasAnswered() {
    follower.onReplicaChanged();
    advance(HubFollower.MAX_RESTART_SEARCH_TIME);
    assertThat(pollsStore).isTrue();

    answer(Duration.ZERO, row("a", 2));

    assertThat(pollsStore).isFalse();
    assertThat(changedKeys).containsExactly("a");
  }

  @Test
  void shouldFallBackToTheStoreWhenTheHubDoesNotAnswer() {
    followHub();

    pendingQueries.remove().completeExceptionally(new IllegalStateException("silent"));
    control.runPendingTasks();
    assertThat(pendingQueries).as("queries to the next entry").hasSize(1);
    advance(HubFollower.MAX_SEARCH_TIME);

    assertThat(pollsStore).isTrue();
  }

  @Test
  void shouldPollTheStoreRarelyWhenAllReadersHaveLostIt() {
    followHub();

    for (int i = 0; i < 3; i++) {
      pendingQueries.remove().complete(null);
      control.runPendingTasks();
    }

    assertThat(pendingQueries).isEmpty();
    assertThat(pollsStore).isFalse();
    assertThat(pollsStoreSlowly).isTrue();
  }

  @Test
  void shouldFallBackToTheStoreWhenTheHubHasLostIt() {
    followHub();

    answer(Duration.ofSeconds(-2), row("b", 3));
    assertThat(pendingQueries).as("queries to the next entry").hasSize(1);
    advance(HubFollower.MAX_SEARCH_TIME);

    assertThat(pollsStore).isTrue();
    assertThat(changedKeys).contains("b");
  }

  @Test
  void shouldDateAnAnswerBackToItsQueryAfterASuspension() {
    followHub();
    clock.stepWall(Duration.ofSeconds(6));

    answer(Duration.ZERO);
    advance(HubFollower.MAX_SEARCH_TIME);

    assertThat(pollsStore).isTrue();
    assertThat(replica.lastChecked().orElseThrow().age(clock.clocks()))
        .isEqualTo(Duration.ofSeconds(6).plus(HubFollower.MAX_SEARCH_TIME));
  }

  @Test
  void shouldDeliverARowOnceWhenBothStoreAndHubSendIt() {
    replica.applyChanges(
        new RowBatch(List.of(row("a", 2)), 0, 2, 2),
        ClockReading.now(clock.clocks()),
        clock.read());
    follower.onReplicaChanged();

    answer(Duration.ZERO, row("a", 2));

    assertThat(changedKeys).containsExactly("a");
  }

  @Test
  void shouldLearnFromTheHubThatRegistrationsMayHaveLapsed() {
    clock.advance(Duration.ofSeconds(2));
    follower.onReplicaChanged();
    complete(new ReplicaAnswer(0, 0, 1, true, List.of(), List.of()));

    assertThat(lapsesExpected).isTrue();
  }

  @Test
  void shouldNotTakeAHubThatLostTheStoreAloneForAnOutageOfTheStore() {
    followHub();
    complete(new ReplicaAnswer(0, 0, 1, true, List.of(), List.of()));

    assertThat(lapsesExpected).isFalse();
  }

  @Test
  void shouldReplaceItsTablesByThoseOfARestoredStore() {
    followHub();
    TableUpdate whole = new TableUpdate(TABLE, 1, true, List.of(row("copy", 1)));
    StoredRow config = row("config", 9);

    complete(new ReplicaAnswer(1, 0, 1, false, List.of(whole), List.of(config)));

    assertThat(replica.era()).isEqualTo(1);
    assertThat(newerConfigs).containsExactly(config);
    assertThat(pollsStore).isFalse();
  }

  @Test
  void shouldLeaveAHubThatIsInAnEarlierEra() {
    followHub();
    TableUpdate whole = new TableUpdate(TABLE, 1, true, List.of());
    complete(new ReplicaAnswer(1, 0, 1, false, List.of(whole), List.of()));

    answer(Duration.ZERO, row("late", 5));

    advance(HubFollower.MAX_SEARCH_TIME);
    assertThat(changedKeys).isEmpty();
    assertThat(pollsStore).isTrue();
  }

  @Test
  void shouldApplyCompressedRows() {
    follower.onReplicaChanged();
    ReplicaRows rows =
        new ReplicaRows(
            List.of(new TableUpdate(TABLE, 2, false, List.of(row("a", 2)))),
            List.of(row("config", 9)));

    complete(
        CompressedReplicaAnswer.of(
            new ReplicaAnswer(0, 0, 1, false, List.of(), List.of()),
            new ReplicaRowsCodec().compress(rows)));
    advance(HubFollower.MAX_SEARCH_TIME);

    assertThat(changedKeys).containsExactly("a");
    assertThat(newerConfigs).extracting(StoredRow::key).containsExactly("config");
    assertThat(pollsStore).isFalse();
  }

  @Test
  void shouldTurnToTheNextEntryWhenCompressedRowsAreUnreadable() {
    followHub();

    complete(
        CompressedReplicaAnswer.of(
            new ReplicaAnswer(0, 0, 1, false, List.of(), List.of()), new byte[] {1, 2, 3}));
    assertThat(pendingQueries).as("queries to the next entry").hasSize(1);
    advance(HubFollower.MAX_SEARCH_TIME);

    assertThat(pollsStore).isTrue();
  }

  private void followHub() {
    follower.onReplicaChanged();
    answer(Duration.ZERO);
    assertThat(pollsStore).isFalse();
  }

  private void answer(Duration checkedAfter, StoredRow... rows) {
    long version = rows.length == 0 ? replica.version() : rows[rows.length - 1].version();
    TableUpdate update = new TableUpdate(TABLE, version, false, List.of(rows));
    complete(new ReplicaAnswer(0, checkedAfter.toNanos(), 1, false, List.of(update), List.of()));
  }

  private void complete(PeerMessage answer) {
    pendingQueries.remove().complete(answer);
    control.runPendingTasks();
  }

  private void advance(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
    control.runPendingTasks();
  }

  private static StoredRow row(String key, long version) {
    return new StoredRow(key, new byte[0], version, false);
  }

  /** Returns ten entries, of which the last one is not the hub. */
  private static List<Member> tenEntries() {
    List<Member> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(new Member("entry-" + i, "dc1", "127.0.0.1", i + 1));
    }
    return all;
  }

  /** Records whether the store is to be polled. */
  private final class PollingRecorder implements StorePolling {
    @Override
    public void startMembers() {
      // the members are given
    }

    @Override
    public void start() {
      pollsStore = true;
    }

    @Override
    public void startWithOrders() {
      pollsStore = true;
    }

    @Override
    public void startSlowly() {
      pollsStoreSlowly = true;
    }

    @Override
    public void stop() {
      pollsStore = false;
      pollsStoreSlowly = false;
    }
  }

  /** Collects the keys of rows that were delivered as changes. */
  private final class KeyCollector implements TableListener {
    @Override
    public void onSnapshot(List<StoredRow> rows, long nowNanos) {
      changedKeys.clear();
    }

    @Override
    public void onChanges(List<StoredRow> rows, long nowNanos) {
      rows.forEach(r -> changedKeys.add(r.key()));
    }
  }
}
