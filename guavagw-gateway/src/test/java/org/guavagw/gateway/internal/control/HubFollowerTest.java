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
import org.guavagw.gateway.internal.peers.HubSelector;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.Members.Member;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
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
  private final List<String> keys = new ArrayList<>();
  private final TableReplica replica = new TableReplica(TABLE, new KeyMirror());
  private final Deque<CompletableFuture<PeerMessage>> questions = new ArrayDeque<>();
  private boolean asksStore;
  private boolean lapses;

  @BeforeEach
  void start() {
    control.freezeTime();
    Members members = new Members("entry-9", tenEntries());
    HubFollower follower =
        new HubFollower(
            List.of(replica),
            new HubSelector(() -> members, clock),
            (entry, message, timeout) -> {
              CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
              questions.add(answer);
              return answer;
            },
            () -> asksStore = true,
            () -> asksStore = false,
            () -> lapses = true,
            control.eventLoop(),
            clock.clocks(),
            log);
    follower.start();
    replica.replace(new RowBatch(List.of(), 1, 1), ClockReading.now(clock.clocks()), clock.read());
  }

  @AfterEach
  void stop() {
    log.close();
  }

  @Test
  void shouldAskTheStoreUntilAHubHasAnswered() {
    assertThat(asksStore).isTrue();
    pass(Duration.ofSeconds(2));
    assertThat(asksStore).isTrue();

    answer(Duration.ZERO, row("a", 2));

    assertThat(asksStore).isFalse();
    assertThat(keys).containsExactly("a");
    assertThat(questions).hasSize(1);
  }

  @Test
  void shouldGoBackToTheStoreWhenTheHubDoesNotAnswer() {
    followHub();

    questions.remove().completeExceptionally(new IllegalStateException("silent"));
    control.runPendingTasks();

    assertThat(asksStore).isTrue();
  }

  @Test
  void shouldGoBackToTheStoreWhenTheHubHasLostIt() {
    followHub();

    answer(Duration.ofSeconds(-2), row("b", 3));

    assertThat(asksStore).isTrue();
    assertThat(keys).contains("b");
  }

  @Test
  void shouldTakeAnAnswerAsOldAsItsQuestionAfterASuspension() {
    followHub();
    clock.stepWall(Duration.ofSeconds(6));

    answer(Duration.ZERO);

    assertThat(asksStore).isTrue();
    assertThat(replica.checked().orElseThrow().age(clock.clocks()))
        .isEqualTo(Duration.ofSeconds(6));
  }

  @Test
  void shouldTakeARowOnceThoughStoreAndHubTellIt() {
    replica.apply(
        new RowBatch(List.of(row("a", 2)), 2, 2), ClockReading.now(clock.clocks()), clock.read());
    pass(Duration.ofSeconds(2));

    answer(Duration.ZERO, row("a", 2));

    assertThat(keys).containsExactly("a");
  }

  @Test
  void shouldLearnFromTheHubThatEntriesMayHaveLapsed() {
    pass(Duration.ofSeconds(2));
    complete(new ReplicaAnswer(0, 1, true, List.of()));

    assertThat(lapses).isTrue();
  }

  private void followHub() {
    pass(Duration.ofSeconds(2));
    answer(Duration.ZERO);
    assertThat(asksStore).isFalse();
  }

  private void answer(Duration checkedAfter, StoredRow... rows) {
    long version = rows.length == 0 ? replica.version() : rows[rows.length - 1].version();
    TableUpdate update = new TableUpdate(TABLE, version, false, List.of(rows));
    complete(new ReplicaAnswer(checkedAfter.toNanos(), 1, false, List.of(update)));
  }

  private void complete(ReplicaAnswer answer) {
    questions.remove().complete(answer);
    control.runPendingTasks();
  }

  private void pass(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
    control.runPendingTasks();
  }

  private static StoredRow row(String key, long version) {
    return new StoredRow(key, new byte[0], version, false);
  }

  /** Ten entries, of which the last one is no hub. */
  private static List<Member> tenEntries() {
    List<Member> all = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      all.add(new Member("entry-" + i, "dc1", "127.0.0.1", i + 1));
    }
    return all;
  }

  /** Keeps the keys of rows that came as changes. */
  private final class KeyMirror implements TableListener {
    @Override
    public void replace(List<StoredRow> rows, long nowNanos) {
      keys.clear();
    }

    @Override
    public void apply(List<StoredRow> rows, long nowNanos) {
      rows.forEach(r -> keys.add(r.key()));
    }
  }
}
