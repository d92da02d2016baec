package org.guavagw.internal.billing;

import com.google.common.base.Ticker;
import com.google.common.collect.Lists;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.internal.lease.Lease;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Bills the open intents of entries whose incarnation has ended. An intent is open as long as its
 * request has no bill.
 *
 * <p>Closes a journal before reading it, so that the owner can add nothing afterwards. Each write
 * is conditional on the version of the journal's row and changes it, so of two concurrent sweepers
 * only one succeeds. The lease is not needed for correctness; it only avoids duplicate work.
 * Confined to one control thread.
 */
public final class BillSweeper {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int LOG_PERIOD_SECONDS = 10;
  private static final String LEASE_NAME = "bill-sweeper";
  private static final int JOURNALS_PER_SWEEP = 1_000;
  private static final int BILLS_PER_SEGMENT = 500;
  private static final long SWEEP_PERIOD_MS = 10_000;
  private static final String FIRST_KEY = "";
  private static final String AFTER_LAST_KEY = "\uffff";

  private final Map<RowKey, Long> endedSinceNanos = new HashMap<>();
  private final TableService table;
  private final JournalTable journals;
  private final BillReader reader;
  private final LeaseService leases;
  private final EntryLiveness liveness;
  private final UnknownOutcomeCharge charge;
  private final Duration delay;
  private final Ticker ticker;

  /**
   * Creates a sweeper.
   *
   * @param delay how long an entry must have been seen as ended before its journal is swept, so
   *     that a peer that took over its unwritten segments can write them first
   */
  public BillSweeper(
      TableService table,
      LeaseService leases,
      EntryLiveness liveness,
      UnknownOutcomeCharge charge,
      Duration delay,
      Ticker ticker) {
    this.table = table;
    this.journals = new JournalTable(table);
    this.reader = new BillReader(table);
    this.leases = leases;
    this.liveness = liveness;
    this.charge = charge;
    this.delay = delay;
    this.ticker = ticker;
  }

  /** Sweeps periodically on the scheduler's thread until the future is cancelled. */
  public ScheduledFuture<?> scheduleSweeps(ScheduledExecutorService scheduler) {
    return scheduler.scheduleWithFixedDelay(
        this::sweep, SWEEP_PERIOD_MS, SWEEP_PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  /** Sweeps every journal that is due. Returns the number of journals finished. */
  public Either<BillFailure, Integer> sweep() {
    Either<BillFailure, Lease> lease =
        leases.acquire(LEASE_NAME).mapLeft(failure -> new BillFailure.NotHolder());
    if (lease.isLeft()) {
      return Either.left(lease.getLeft());
    }
    Either<PlatformFailure, List<Row>> live =
        table.range(JournalId.LIVE_TABLE, FIRST_KEY, AFTER_LAST_KEY, JOURNALS_PER_SWEEP);
    if (live.isLeft()) {
      endedSinceNanos.clear();
      return Either.left(JournalTable.unavailable(live.getLeft()));
    }
    endedSinceNanos.keySet().retainAll(Lists.transform(live.get(), Row::key));
    List<Row> due = live.get().stream().filter(this::isDue).toList();
    int finished = 0;
    for (Row row : due) {
      if (!lease.get().isSafe()) {
        return Either.left(new BillFailure.NotHolder());
      }
      finished += sweepJournal(row) ? 1 : 0;
    }
    return Either.right(finished);
  }

  private boolean isDue(Row row) {
    JournalRow journal = JournalRow.CODEC.decode(row.value());
    if (journal.state() == JournalRow.State.CLOSED) {
      return true;
    }
    if (!liveness.hasEnded(journal.id().entry(), journal.id().incarnation())) {
      endedSinceNanos.remove(row.key());
      return false;
    }
    long now = ticker.read();
    Long since = endedSinceNanos.putIfAbsent(row.key(), now);
    return since != null && now - since >= delay.toNanos();
  }

  private boolean sweepJournal(Row row) {
    JournalRow journal = JournalRow.CODEC.decode(row.value());
    Either<BillFailure, Boolean> result =
        journal.state() == JournalRow.State.OPEN
            ? close(row, journal)
            : billUnsettled(row, journal.id());
    return result
        .peekLeft(
            failure ->
                logger.atWarning().atMostEvery(LOG_PERIOD_SECONDS, TimeUnit.SECONDS).log(
                    "journal %s not swept: %s", journal.id(), failure))
        .getOrElse(false);
  }

  private Either<BillFailure, Boolean> close(Row row, JournalRow journal) {
    Mutation put = new Mutation.Put(row.key(), JournalRow.CODEC.encode(journal.closed()));
    return table
        .commit(new Transaction(List.of(JournalTable.unchanged(row)), List.of(put)))
        .mapLeft(JournalTable::unavailable)
        .flatMap(result -> billIfClosed(row.key(), result));
  }

  private Either<BillFailure, Boolean> billIfClosed(RowKey key, CommitResult result) {
    if (result instanceof CommitResult.Conflict) {
      return Either.right(false);
    }
    return table
        .read(key)
        .mapLeft(JournalTable::unavailable)
        .flatMap(row -> row.isPresent() ? billClosed(row.get()) : Either.right(false));
  }

  private Either<BillFailure, Boolean> billClosed(Row row) {
    JournalRow journal = JournalRow.CODEC.decode(row.value());
    if (journal.state() != JournalRow.State.CLOSED) {
      return Either.right(false);
    }
    return billUnsettled(row, journal.id());
  }

  private Either<BillFailure, Boolean> billUnsettled(Row row, JournalId id) {
    return reader
        .unsettledOf(id)
        .mapLeft(JournalTable::unavailable)
        .flatMap(intents -> writeBills(row, id, intents));
  }

  private Either<BillFailure, Boolean> writeBills(
      Row row, JournalId id, List<BillIntentRecord> intents) {
    List<BillIntentRecord> batch = intents.subList(0, Math.min(BILLS_PER_SEGMENT, intents.size()));
    boolean isLast = batch.size() == intents.size();
    List<Bill> bills =
        batch.stream().map(intent -> Bill.unknownOutcome(intent, charge.micros(intent))).toList();
    byte[] content = SegmentRow.CODEC.encode(new SegmentRow(List.of(), bills));
    Mutation put = new Mutation.Put(id.sweptSegmentKey(row.version()), content);
    return isLast
        ? journals.finish(id, row.version(), put)
        : journals.appendToClosed(row, put).map(done -> false);
  }
}
