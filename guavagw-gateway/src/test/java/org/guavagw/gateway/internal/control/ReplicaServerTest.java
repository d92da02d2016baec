package org.guavagw.gateway.internal.control;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.guavagw.gateway.internal.ManualClock;
import org.guavagw.gateway.internal.peers.CompressedReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaAnswer;
import org.guavagw.gateway.internal.peers.ReplicaQuery;
import org.guavagw.gateway.internal.peers.ReplicaRowsCodec;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ReplicaServerTest {
  private static final String TABLE = "orders";
  private static final String FOLLOWER = "entry-1";
  private static final long LINK_BYTES_PER_SECOND = 800_000;
  private static final HubTiming TIMING =
      HubTiming.within(Duration.ofSeconds(2)).onLink(LINK_BYTES_PER_SECOND);
  private static final Duration HOLD_TIME = TIMING.holdTime();
  private static final Duration SEND_PERIOD = Duration.ofMillis(50);
  private static final Duration MAX_DELAY = Duration.ofMillis(250);

  private int refreshes;
  private int outdated;
  private List<StoredRow> newerConfig = List.of();
  private final ManualClock clock = new ManualClock();
  private final EmbeddedChannel control = new EmbeddedChannel();
  private final StoreHealth health = new StoreHealth(TABLE);
  private final TableReplica orders = new TableReplica(TABLE, new NoListener());
  private final ReplicaServer server =
      new ReplicaServer(
          List.of(orders),
          TIMING,
          orders,
          health,
          () -> false,
          () -> newerConfig,
          new FollowerListener() {
            @Override
            public void onFirstFollower() {
              refreshes++;
            }

            @Override
            public void onOutdated() {
              outdated++;
            }
          },
          new CurrentControlView(clock.clocks()),
          control.eventLoop(),
          clock.clocks());

  @BeforeEach
  void loadOrders() {
    control.freezeTime();
    orders.applySnapshot(new RowBatch(List.of(row("a", 4)), 0, 5, 5), now(), clock.read());
    advance(Duration.ofMillis(100));
    assertThat(query(5)).isDone();
  }

  @Test
  void shouldAnswerTheFirstQueryOfAFollowerAtOnce() {
    ReplicaQuery query = new ReplicaQuery(0, Map.of(TABLE, 5L));

    assertThat(server.onQuery("entry-2", query).toCompletableFuture()).isDone();
    assertThat(server.onQuery("entry-2", query).toCompletableFuture()).isNotDone();
  }

  @Test
  void shouldAskForNewerOrdersBeforeItAnswersWithOnesThatAreTooOld() {
    advance(TIMING.maxOrdersAge());
    ReplicaQuery query = new ReplicaQuery(0, Map.of(TABLE, 1L));
    CompletableFuture<PeerMessage> pending = server.onQuery("entry-2", query).toCompletableFuture();
    assertThat(pending).isNotDone();
    assertThat(outdated).isEqualTo(1);

    applyBatch(new RowBatch(List.of(), 0, 5, 5));

    assertThat(answerOf(pending).checkedAfterNanos()).isNotNegative();
  }

  @Test
  void shouldAnswerAtOnceIfSomethingChanged() {
    applyBatch(new RowBatch(List.of(row("b", 6)), 0, 6, 6));

    ReplicaAnswer answer = answerOf(query(5));

    assertThat(answer.tables().get(0).rows()).containsExactly(row("b", 6));
    assertThat(answer.tables().get(0).whole()).isFalse();
  }

  @Test
  void shouldAnswerAFollowerInAnEarlierEraWithTheWholeTable() {
    orders.applySnapshot(new RowBatch(List.of(row("a", 2)), 1, 3, 3), now(), clock.read());
    newerConfig = List.of(row("config", 9));

    ReplicaAnswer answer = answerOf(query(5));

    assertThat(answer.era()).isEqualTo(1);
    assertThat(answer.tables().get(0).whole()).isTrue();
    assertThat(answer.tables().get(0).rows()).containsExactly(row("a", 2));
    assertThat(answer.newerConfig()).isEqualTo(newerConfig);
  }

  @Test
  void shouldRefuseAFollowerInALaterEra() {
    CompletionStage<PeerMessage> answer =
        server.onQuery(FOLLOWER, new ReplicaQuery(1, Map.of(TABLE, 1L)));

    assertThat(answer.toCompletableFuture()).isCompletedWithValue(null);
  }

  @Test
  void shouldHoldAQueryUntilAChange() {
    CompletableFuture<PeerMessage> pending = query(5);
    assertThat(pending).isNotDone();

    applyBatch(new RowBatch(List.of(row("b", 6)), 0, 6, 6));

    assertThat(answerOf(pending).tables().get(0).version()).isEqualTo(6);
  }

  @Test
  void shouldReportHowLongAfterTheQueryTheOrdersWereChecked() {
    CompletableFuture<PeerMessage> pending = query(5);
    advance(Duration.ofMillis(50));

    applyBatch(new RowBatch(List.of(), 0, 5, 5));

    assertThat(answerOf(pending).checkedAfterNanos()).isEqualTo(Duration.ofMillis(50).toNanos());
  }

  @Test
  void shouldCountASuspensionBetweenTheCheckAndTheQuery() {
    clock.stepWall(Duration.ofSeconds(6));
    CompletableFuture<PeerMessage> pending = query(5);
    advance(HOLD_TIME);

    assertThat(answerOf(pending).checkedAfterNanos())
        .isLessThanOrEqualTo(-Duration.ofSeconds(6).toNanos());
  }

  @Test
  void shouldAnswerAfterTheHoldTimeEvenIfNothingChanged() {
    CompletableFuture<PeerMessage> pending = query(5);
    advance(HOLD_TIME);

    assertThat(answerOf(pending).tables().get(0).rows()).isEmpty();
    assertThat(answerOf(pending).checkedAfterNanos()).isNegative();
  }

  @Test
  void shouldSendTheWholeTableToAnEntryThatIsTooFarBehind() {
    ReplicaAnswer answer = answerOf(query(2));

    assertThat(answer.tables().get(0).whole()).isTrue();
    assertThat(answer.tables().get(0).rows()).containsExactly(row("a", 4));
  }

  @Test
  void shouldSendRemovedRows() {
    StoredRow removed = new StoredRow("a", new byte[0], 6, true);
    applyBatch(new RowBatch(List.of(removed), 0, 6, 6));

    assertThat(answerOf(query(5)).tables().get(0).rows()).containsExactly(removed);
  }

  @Test
  void shouldRefreshTheOrdersForTheFirstFollower() {
    assertThat(query(5)).isNotNull();
    advance(Duration.ofSeconds(1));
    assertThat(query(5)).isNotNull();
    assertThat(refreshes).isEqualTo(1);

    advance(Duration.ofSeconds(10));
    assertThat(query(5)).isNotNull();
    assertThat(refreshes).isEqualTo(2);
  }

  @Test
  void shouldRefuseWhileTheStoreFails() {
    CompletableFuture<PeerMessage> pending = query(5);
    health.onFailure(TABLE);
    server.refuseAll();

    assertThat(pending.join()).isNull();
    assertThat(query(5).join()).isNull();
  }

  @Test
  void shouldCompressLongRowsForAFollowerThatAcceptsThem() throws IOException {
    StoredRow row = longRow("config", 6);
    applyBatch(new RowBatch(List.of(row), 0, 6, 6));

    CompressedReplicaAnswer compressed = (CompressedReplicaAnswer) acceptingQuery(5).join();

    assertThat(compressed.rows().length).isLessThan(row.value().length / 10);
    assertThat(compressed.decompress(new ReplicaRowsCodec()))
        .usingRecursiveComparison()
        .isEqualTo(query(5).join());
  }

  @Test
  void shouldCompressTheSameRowsOnceForAllFollowers() {
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));
    CompressedReplicaAnswer first = (CompressedReplicaAnswer) acceptingQuery(5).join();

    assertThat(((CompressedReplicaAnswer) acceptingQuery(5).join()).rows()).isSameAs(first.rows());
  }

  @Test
  void shouldCompressTheNextVersionOfARowAnew() throws IOException {
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));
    assertThat(acceptingQuery(5)).isDone();
    StoredRow next = longRow("config", 7);
    applyBatch(new RowBatch(List.of(next), 0, 7, 7));

    CompressedReplicaAnswer compressed = (CompressedReplicaAnswer) acceptingQuery(5).join();

    assertThat(compressed.decompress(new ReplicaRowsCodec()).tables().get(0).rows())
        .usingRecursiveFieldByFieldElementComparator()
        .containsExactly(next);
  }

  @Test
  void shouldSendLongRowsAsTheyAreToAnEarlierBuild() {
    StoredRow row = longRow("config", 6);
    applyBatch(new RowBatch(List.of(row), 0, 6, 6));

    assertThat(answerOf(query(5)).tables().get(0).rows()).containsExactly(row);
  }

  @Test
  void shouldSendShortRowsAsTheyAre() {
    applyBatch(new RowBatch(List.of(row("b", 6)), 0, 6, 6));

    assertThat(answerOf(acceptingQuery(5)).tables().get(0).rows()).containsExactly(row("b", 6));
  }

  @Test
  void shouldSendLongAnswersOneAfterTheOther() {
    List<CompletableFuture<PeerMessage>> pending = queries(3);
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));
    assertThat(pending).filteredOn(CompletableFuture::isDone).hasSize(1);

    advance(SEND_PERIOD);
    assertThat(pending).filteredOn(CompletableFuture::isDone).hasSize(2);

    advance(SEND_PERIOD);
    assertThat(pending).allMatch(CompletableFuture::isDone);
  }

  @Test
  void shouldHoldBackNoAnswerForLongerThanTheMaximum() {
    List<CompletableFuture<PeerMessage>> pending = queries(20);
    advance(HOLD_TIME.minusMillis(10));
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));

    for (Duration passed = Duration.ZERO; passed.compareTo(MAX_DELAY) < 0; ) {
      assertThat(pending).anyMatch(p -> !p.isDone());
      passed = passed.plus(SEND_PERIOD);
      advance(SEND_PERIOD);
    }

    assertThat(pending).allMatch(CompletableFuture::isDone);
  }

  @Test
  void shouldAnswerWithTheRowsOfNowAfterItHeldAnAnswerBack() {
    List<CompletableFuture<PeerMessage>> pending = queries(2);
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));
    StoredRow next = longRow("config", 7);
    applyBatch(new RowBatch(List.of(next), 0, 7, 7));

    advance(SEND_PERIOD);

    assertThat(pending)
        .extracting(p -> answerOf(p).tables().get(0).version())
        .containsExactlyInAnyOrder(6L, 7L);
  }

  @Test
  void shouldNotHoldBackAnswersWithoutRows() {
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));
    assertThat(query(5)).isDone();
    CompletableFuture<PeerMessage> pending = query(6);

    applyBatch(new RowBatch(List.of(), 0, 6, 6));

    assertThat(answerOf(pending).checkedAfterNanos()).isZero();
  }

  @Test
  void shouldNotHoldBackTheAnswerToTheFirstQueryOfAFollower() {
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));
    assertThat(query(5)).isDone();
    assertThat(query(5)).isNotDone();

    ReplicaQuery query = new ReplicaQuery(0, Map.of(TABLE, 5L));

    assertThat(server.onQuery("entry-2", query).toCompletableFuture()).isDone();
  }

  @Test
  void shouldRefuseQueriesWhoseAnswersAreHeldBackWhenTheStoreFails() {
    List<CompletableFuture<PeerMessage>> pending = queries(2);
    applyBatch(new RowBatch(List.of(longRow("config", 6)), 0, 6, 6));

    health.onFailure(TABLE);
    server.refuseAll();

    assertThat(pending).allMatch(CompletableFuture::isDone).anyMatch(p -> answerOf(p) == null);
  }

  private List<CompletableFuture<PeerMessage>> queries(int count) {
    return Stream.generate(() -> query(5)).limit(count).toList();
  }

  private CompletableFuture<PeerMessage> acceptingQuery(long version) {
    return server
        .onQuery(FOLLOWER, new ReplicaQuery(0, Map.of(TABLE, version)).acceptingCompressed())
        .toCompletableFuture();
  }

  private CompletableFuture<PeerMessage> query(long version) {
    return server
        .onQuery(FOLLOWER, new ReplicaQuery(0, Map.of(TABLE, version)))
        .toCompletableFuture();
  }

  private static ReplicaAnswer answerOf(CompletableFuture<PeerMessage> pending) {
    return (ReplicaAnswer) pending.getNow(null);
  }

  private void applyBatch(RowBatch batch) {
    orders.applyChanges(batch, now(), clock.read());
    server.onReplicaChanged();
  }

  private ClockReading now() {
    return ClockReading.now(clock.clocks());
  }

  private void advance(Duration time) {
    clock.advance(time);
    control.advanceTimeBy(time.toMillis(), TimeUnit.MILLISECONDS);
    control.runScheduledPendingTasks();
  }

  private static final byte[] EMPTY = new byte[0];

  private static StoredRow longRow(String key, long version) {
    return new StoredRow(key, ("value " + version).repeat(3000).getBytes(UTF_8), version, false);
  }

  private static StoredRow row(String key, long version) {
    return new StoredRow(key, EMPTY, version, false);
  }

  /** Ignores all rows. */
  private static final class NoListener implements TableListener {
    @Override
    public void onSnapshot(List<StoredRow> rows, long nowNanos) {
      // the server reads the replica only
    }

    @Override
    public void onChanges(List<StoredRow> rows, long nowNanos) {
      // the server reads the replica only
    }
  }
}
