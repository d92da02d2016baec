package org.guavagw.internal.billing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.durable.ManualClocks;
import org.guavagw.internal.durable.ScriptedTable;
import org.guavagw.internal.lease.LeaseHolder;
import org.guavagw.internal.lease.LeaseSettings;
import org.guavagw.internal.lease.TableLeaseService;
import org.guavagw.standins.table.InMemoryTableService;
import org.junit.jupiter.api.Test;

class BillRecorderTest {
  private static final VersionRef VERSION = new VersionRef("small", "1");
  private static final BillSettings SETTINGS =
      new BillSettings(100, 50, 1_000, Duration.ofMinutes(5));
  private static final Duration SWEEP_DELAY = Duration.ofSeconds(60);

  private final ManualClocks time = new ManualClocks();
  private final ScriptedTable table = new ScriptedTable(new InMemoryTableService());
  private final ScriptedTable peerTable = table.peer();
  private final BillReader reader = new BillReader(table.peer());
  private final List<CompletableFuture<?>> handovers = new ArrayList<>();
  private final BillRecorder recorder = recorder(table, "a");
  private final BillRecorder peer = recorder(peerTable, "b");
  private final BillSweeper sweeper = sweeper("b", UnknownOutcomeCharge.INPUT_ONLY);

  private BillRecorder recorder(ScriptedTable view, String entry) {
    return new BillRecorder(view, new JournalId(entry, 1, 0), SETTINGS, () -> 1, time.clocks());
  }

  private BillSweeper sweeper(String holder, UnknownOutcomeCharge charge) {
    return new BillSweeper(
        peerTable,
        new TableLeaseService(
            peerTable,
            new LeaseHolder(holder, 1),
            LeaseSettings.standard(),
            time.clocks().monotonic()),
        (entry, incarnation) -> entry.equals("a"),
        charge,
        SWEEP_DELAY,
        time.clocks().monotonic());
  }

  @Test
  void shouldReleaseAnswerOnlyAfterItsIntentIsDurable() {
    CompletableFuture<IntentOutcome> durable = open("r1").durable();
    assertThat(durable).isNotDone();
    writeAll(recorder);
    assertThat(durable.join()).isEqualTo(new IntentOutcome.Durable());
    assertThat(reader.unsettled().get())
        .extracting(BillIntentRecord::requestId)
        .containsExactly("r1");
  }

  @Test
  void shouldBillOnceWhenAnswersToWritesAreLost() {
    open("r1");
    table.loseAnswers(1);
    writeAll(recorder);
    settle("r1", 7);
    table.loseAnswers(1);
    writeAll(recorder);
    assertBilled("r1", 7, BillBasis.ACTUAL);
  }

  @Test
  void shouldBillOnceWhenStoreFailsRightAfterWriteTookEffect() {
    open("r1");
    settle("r1", 7);
    writeTimes(recorder, 1);
    open("r2");
    settle("r2", 7);
    table.loseAnswers(1);
    table.afterNextCommit(() -> table.down(true));
    writeTimes(recorder, 2);
    table.down(false);
    writeAll(recorder);
    assertThat(reader.bills().get())
        .extracting(Bill::requestId)
        .containsExactlyInAnyOrder("r1", "r2");
  }

  @Test
  void shouldBillOnceWhenWritesAreLostAtRandom() {
    table.loseAtRandom(0.4, 42);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      String id = "r" + i;
      ids.add(id);
      open(id);
      writeTimes(recorder, i % 3);
      settle(id, 1);
      settle(id, 2);
    }
    writeAll(recorder);
    assertThat(reader.bills().get())
        .allMatch(b -> b.costMicros() == 1)
        .extracting(Bill::requestId)
        .containsExactlyInAnyOrderElementsOf(ids);
  }

  @Test
  void shouldChargeNothingForRequestThatDidNotRun() {
    open("r1");
    writeAll(recorder);
    recorder.cancel("r1");
    settle("r1", 7);
    open("r2");
    recorder.cancel("r2");
    writeAll(recorder);
    assertBilled("r1", 0, BillBasis.NOT_RUN);
  }

  @Test
  void shouldWriteOneBillForAllAttempts() {
    open("r1");
    BilledAttempt attempt = new BilledAttempt("server", VERSION, 10, 5, 3);
    recorder.settle(new Settlement("r1", 6, List.of(attempt, attempt)));
    writeAll(recorder);
    assertThat(reader.bills().get())
        .singleElement()
        .satisfies(b -> assertThat(b.attempts()).containsExactly(attempt, attempt));
  }

  @Test
  void shouldLetSweeperBillRequestsOfEntryKilledBeforeWritingBill() {
    open("r1");
    open("r2");
    writeAll(recorder);
    settle("r2", 7);
    writeAll(recorder);
    settle("r1", 9);
    sweepAfterDelay();
    assertThat(reader.bills().get())
        .extracting(Bill::requestId, Bill::costMicros, Bill::basis)
        .containsExactlyInAnyOrder(
            tuple("r1", 2L, BillBasis.UNKNOWN_OUTCOME), tuple("r2", 7L, BillBasis.ACTUAL));
  }

  @Test
  void shouldRejectLateBillOfEntryThatWasPaused() {
    open("r1");
    writeAll(recorder);
    sweepAfterDelay();
    settle("r1", 9);
    open("r2");
    settle("r2", 4);
    writeAll(recorder);
    assertThat(reader.bills().get())
        .extracting(Bill::requestId, Bill::costMicros)
        .containsExactlyInAnyOrder(tuple("r1", 2L), tuple("r2", 4L));
  }

  @Test
  void shouldBillOnceWhenManyRequestsEndAfterTheirJournalWasClosed() {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 4 * SETTINGS.recordsPerSegment(); i++) {
      ids.add("r" + i);
      open("r" + i);
    }
    writeAll(recorder);
    sweepAfterDelay();
    ids.subList(0, ids.size() / 2).forEach(id -> settle(id, 9));
    writeAll(recorder);
    ids.forEach(id -> settle(id, 9));
    writeAll(recorder);
    assertThat(reader.bills().get())
        .allMatch(b -> b.basis() == BillBasis.UNKNOWN_OUTCOME)
        .extracting(Bill::requestId)
        .containsExactlyInAnyOrderElementsOf(ids);
  }

  @Test
  void shouldBillOnceWhenSweeperClosesJournalWhileBillIsInTransit() {
    open("r1");
    writeAll(recorder);
    settle("r1", 9);
    table.beforeNextCommit(this::sweepAfterDelay);
    writeAll(recorder);
    assertBilled("r1", 2, BillBasis.UNKNOWN_OUTCOME);
  }

  @Test
  void shouldBillOnceWhenBillArrivesBetweenReadAndCloseBySweeper() {
    open("r1");
    writeAll(recorder);
    settle("r1", 9);
    sweeper.sweep();
    time.advance(SWEEP_DELAY);
    peerTable.beforeNextCommit(() -> peerTable.beforeNextCommit(() -> writeAll(recorder)));
    sweepAfterDelay();
    assertBilled("r1", 9, BillBasis.ACTUAL);
  }

  @Test
  void shouldBillOnceWhenTwoSweepersRace() {
    BillSweeper other = sweeper("c", UnknownOutcomeCharge.MAXIMUM);
    open("r1");
    writeAll(recorder);
    sweeper.sweep();
    time.advance(SWEEP_DELAY);
    other.sweep();
    time.advance(SWEEP_DELAY);
    peerTable.beforeNextCommit(() -> peerTable.beforeNextCommit(other::sweep));
    sweeper.sweep();
    sweeper.sweep();
    assertThat(reader.bills().get()).extracting(Bill::requestId).containsExactly("r1");
  }

  @Test
  void shouldKeepBillsOfInterruptedSweepThatAnotherSweeperFinishes() {
    int count = 600;
    for (int i = 0; i < count; i++) {
      open("r" + i);
    }
    writeAll(recorder);
    sweepAfterDelay();
    BillSweeper other = sweeper("c", UnknownOutcomeCharge.MAXIMUM);
    Runnable pauseBeyondLease =
        () -> {
          other.sweep();
          time.advance(SWEEP_DELAY);
          other.sweep();
        };
    peerTable.beforeNextCommit(() -> peerTable.beforeNextCommit(pauseBeyondLease));
    sweeper.sweep();
    assertThat(reader.bills().get())
        .hasSize(count)
        .filteredOn(b -> b.costMicros() == 100)
        .hasSize(100);
    assertThat(reader.unsettled().get()).isEmpty();
  }

  @Test
  void shouldBillOnceWhenAnswersToSweeperAreLost() {
    open("r1");
    writeAll(recorder);
    sweeper.sweep();
    time.advance(SWEEP_DELAY);
    peerTable.loseAtRandom(0.3, 7);
    for (int i = 0; i < 300; i++) {
      sweeper.sweep();
      time.advance(SWEEP_DELAY);
    }
    assertBilled("r1", 2, BillBasis.UNKNOWN_OUTCOME);
  }

  @Test
  void shouldServeWhileStoreIsDownAndWriteAllBillsAfterwards() {
    table.down(true);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      String id = "r" + i;
      ids.add(id);
      CompletableFuture<IntentOutcome> durable = open(id).durable();
      writeTimes(recorder, 1);
      assertThat(durable.join().mayServe()).isTrue();
      settle(id, 1);
    }
    table.down(false);
    int before = table.commits();
    Duration took = writeAll(recorder);
    assertThat(table.commits() - before).isLessThanOrEqualTo(20);
    assertThat(took).isLessThanOrEqualTo(Duration.ofSeconds(1));
    assertThat(reader.bills().get())
        .extracting(Bill::requestId)
        .containsExactlyInAnyOrderElementsOf(ids);
  }

  @Test
  void shouldNeverExceedItsShareOfWriteRate() {
    int seconds = 20;
    table.loseAtRandom(0.2, 3);
    for (int i = 0; i < seconds * 1_000; i++) {
      open("r" + i);
      recorder.writeNext();
      settle("r" + i, 1);
      time.advance(Duration.ofMillis(1));
    }
    assertThat(table.commits())
        .isLessThanOrEqualTo((int) (seconds * SETTINGS.writesPerSecond()) + 2);
  }

  @Test
  void shouldRefuseNewRequestsAtLimitOfUnbilledRequests() {
    table.down(true);
    for (int i = 0; i < SETTINGS.maxUnbilled(); i++) {
      open("r" + i);
    }
    assertThat(open("one more").durable().join()).isInstanceOf(IntentOutcome.Refused.class);
  }

  @Test
  void shouldLetPeersWriteSegmentsThatEntryCouldNot() {
    open("r1");
    writeAll(recorder);
    settle("r1", 3);
    open("r2");
    settle("r2", 4);
    table.loseAnswers(1);
    table.afterNextRead(() -> table.down(true));
    writeTimes(recorder, 3);
    BillRecorder second = recorder(peerTable, "c");
    UnbilledSnapshot snapshot = recorder.handOver();
    CompletableFuture<Either<BillFailure, Void>> written = peer.takeOver(snapshot);
    handovers.add(second.takeOver(snapshot));
    writeAll(peer);
    writeAll(second);
    assertThat(written.join().isRight()).isTrue();
    sweepAfterDelay();
    assertThat(reader.bills().get())
        .extracting(Bill::requestId, Bill::costMicros)
        .containsExactlyInAnyOrder(tuple("r1", 3L), tuple("r2", 4L));
  }

  @Test
  void shouldWriteThroughPeerWhileStoreIsUnreachable() {
    TableSegmentWriter viaPeer = new TableSegmentWriter(peerTable);
    BillRecorder disconnected =
        new BillRecorder(
            new TableSegmentWriter(table),
            writer -> writer.withFallback(viaPeer),
            new JournalId("c", 1, 0),
            SETTINGS,
            () -> 1,
            time.clocks());
    table.down(true);
    PendingBillIntent intent = disconnected.open(intent("r1"));
    writeAll(disconnected);
    assertThat(intent.durable().join()).isEqualTo(new IntentOutcome.Durable());
  }

  @Test
  void shouldWriteSegmentsOfManyEntriesInOneTransaction() {
    List<BillRecorder> recorders = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      BillRecorder each = recorder(table.peer(), "entry" + i);
      each.open(intent("first" + i));
      writeAll(each);
      each.open(intent("second" + i));
      recorders.add(each);
    }
    recorders.forEach(b -> handovers.add(peer.takeOver(b.handOver())));
    writeAll(peer);
    int before = peerTable.commits();
    recorders.forEach(b -> b.open(intent("third" + b.unbilled().journal())));
    recorders.forEach(b -> handovers.add(peer.takeOver(b.handOver())));
    writeAll(peer);
    assertThat(peerTable.commits() - before).isLessThanOrEqualTo(2);
    assertThat(reader.unsettled().get()).hasSize(75);
    assertThat(handovers).allMatch(CompletableFuture::isDone);
  }

  private PendingBillIntent open(String id) {
    return recorder.open(intent(id));
  }

  private BillIntentRecord intent(String id) {
    return new BillIntentRecord(id, "team", VERSION, 2, 100, time.clocks().wall().instant());
  }

  private void settle(String id, long micros) {
    recorder.settle(new Settlement(id, micros, List.of()));
  }

  private void sweepAfterDelay() {
    sweeper.sweep();
    time.advance(SWEEP_DELAY);
    sweeper.sweep();
  }

  private Duration writeAll(BillRecorder writer) {
    long start = time.clocks().monotonic().read();
    while (writer.writeNext() != WriteResult.IDLE) {
      time.advance(Duration.ofMillis(10));
    }
    return Duration.ofNanos(time.clocks().monotonic().read() - start);
  }

  private void writeTimes(BillRecorder writer, int times) {
    for (int i = 0; i < times; i++) {
      writer.writeNext();
      time.advance(Duration.ofMillis(10));
    }
  }

  private void assertBilled(String id, long micros, BillBasis basis) {
    assertThat(reader.bills().get())
        .extracting(Bill::requestId, Bill::costMicros, Bill::basis)
        .containsExactly(tuple(id, micros, basis));
    assertThat(reader.unsettled().get()).isEmpty();
  }
}
