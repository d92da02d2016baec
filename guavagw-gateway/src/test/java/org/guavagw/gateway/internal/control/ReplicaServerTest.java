package org.guavagw.gateway.internal.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReplicaServerTest {
  private static final String TABLE = "orders";

  private int refreshes;
  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final StoreHealth health = new StoreHealth(TABLE);
  private final TableReplica orders = new TableReplica(TABLE, new NoMirror());
  private final ReplicaServer server =
      new ReplicaServer(
          List.of(orders),
          orders,
          health,
          () -> false,
          () -> refreshes++,
          new CurrentControlView(clock.clocks()),
          control.eventLoop(),
          clock.clocks());

  @BeforeEach
  void fill() {
    control.freezeTime();
    orders.replace(new RowBatch(List.of(row("a", 4)), 5, 5), now(), clock.read());
    pass(Duration.ofMillis(100));
  }

  @Test
  void shouldAnswerAtOnceWhatChanged() {
    check(new RowBatch(List.of(row("b", 6)), 6, 6));

    ReplicaAnswer answer = answered(ask(5));

    assertThat(answer.tables().get(0).rows()).containsExactly(row("b", 6));
    assertThat(answer.tables().get(0).whole()).isFalse();
  }

  @Test
  void shouldWaitForAChange() {
    CompletableFuture<PeerMessage> question = ask(5);
    assertThat(question).isNotDone();

    check(new RowBatch(List.of(row("b", 6)), 6, 6));

    assertThat(answered(question).tables().get(0).version()).isEqualTo(6);
  }

  @Test
  void shouldSayHowLongAfterTheQuestionTheOrdersWereChecked() {
    CompletableFuture<PeerMessage> question = ask(5);
    pass(Duration.ofMillis(50));

    check(new RowBatch(List.of(), 5, 5));

    assertThat(answered(question).checkedAfterNanos()).isEqualTo(Duration.ofMillis(50).toNanos());
  }

  @Test
  void shouldCountASuspensionBetweenTheCheckAndTheQuestion() {
    clock.stepWall(Duration.ofSeconds(6));
    CompletableFuture<PeerMessage> question = ask(5);
    pass(ReplicaServer.HOLD_TIME);

    assertThat(answered(question).checkedAfterNanos())
        .isLessThanOrEqualTo(-Duration.ofSeconds(6).toNanos());
  }

  @Test
  void shouldAnswerAfterTheHoldTimeThoughNothingIsNew() {
    CompletableFuture<PeerMessage> question = ask(5);
    pass(ReplicaServer.HOLD_TIME);

    assertThat(answered(question).tables().get(0).rows()).isEmpty();
    assertThat(answered(question).checkedAfterNanos()).isNegative();
  }

  @Test
  void shouldTellTheWholeTableToAnEntryThatIsTooFarBehind() {
    ReplicaAnswer answer = answered(ask(2));

    assertThat(answer.tables().get(0).whole()).isTrue();
    assertThat(answer.tables().get(0).rows()).containsExactly(row("a", 4));
  }

  @Test
  void shouldTellOfRemovedRows() {
    StoredRow removed = new StoredRow("a", new byte[0], 6, true);
    check(new RowBatch(List.of(removed), 6, 6));

    assertThat(answered(ask(5)).tables().get(0).rows()).containsExactly(removed);
  }

  @Test
  void shouldCheckTheOrdersAnewWhenOthersBeginToFollow() {
    assertThat(ask(5)).isNotNull();
    pass(Duration.ofSeconds(1));
    assertThat(ask(5)).isNotNull();
    assertThat(refreshes).isEqualTo(1);

    pass(Duration.ofSeconds(10));
    assertThat(ask(5)).isNotNull();
    assertThat(refreshes).isEqualTo(2);
  }

  @Test
  void shouldRefuseWhileTheStoreFails() {
    CompletableFuture<PeerMessage> waiting = ask(5);
    health.onFailure(TABLE);
    server.refuseAll();

    assertThat(waiting.join()).isNull();
    assertThat(ask(5).join()).isNull();
  }

  private CompletableFuture<PeerMessage> ask(long version) {
    return server.onQuery(new ReplicaQuery(Map.of(TABLE, version))).toCompletableFuture();
  }

  private static ReplicaAnswer answered(CompletableFuture<PeerMessage> question) {
    return (ReplicaAnswer) question.getNow(null);
  }

  private void check(RowBatch batch) {
    orders.apply(batch, now(), clock.read());
    server.onReplicaChanged();
  }

  private ClockReading now() {
    return ClockReading.now(clock.clocks());
  }

  private void pass(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
  }

  private static final byte[] EMPTY = new byte[0];

  private static StoredRow row(String key, long version) {
    return new StoredRow(key, EMPTY, version, false);
  }

  /** Takes nothing. */
  private static final class NoMirror implements TableListener {
    @Override
    public void replace(List<StoredRow> rows, long nowNanos) {
      // the server reads the replica only
    }

    @Override
    public void apply(List<StoredRow> rows, long nowNanos) {
      // the server reads the replica only
    }
  }
}
