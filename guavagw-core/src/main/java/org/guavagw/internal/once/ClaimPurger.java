package org.guavagw.internal.once;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.internal.lease.LeaseService;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * Deletes claims that are older than the retention period, one page of rows at a time.
 *
 * <p>The age of a claim is measured against the earlier of this entry's wall clock and the median
 * over all entries of their newest claim times, as seen in the last complete pass. So a single
 * clock that jumps ahead causes no early deletion. Confined to one control thread.
 */
public final class ClaimPurger {
  private static final String LEASE_NAME = "once-purge";
  private static final int ROWS_PER_PAGE = 100;
  private static final long PAGE_PERIOD_MS = 1_000;
  private static final String FIRST_KEY = "";
  private static final String AFTER_LAST_KEY = "\uffff";

  private final Map<String, Long> newestMsByEntry = new HashMap<>();
  private final TableService table;
  private final LeaseService leases;
  private final Duration retention;
  private final InstantSource wall;
  private String nextKey = FIRST_KEY;
  private long medianNewestMs;

  public ClaimPurger(
      TableService table, LeaseService leases, Duration retention, InstantSource wall) {
    this.table = table;
    this.leases = leases;
    this.retention = retention;
    this.wall = wall;
  }

  /** Purges one page periodically on the scheduler's thread until the future is cancelled. */
  public ScheduledFuture<?> schedulePurges(ScheduledExecutorService scheduler) {
    return scheduler.scheduleWithFixedDelay(
        this::purgePage, PAGE_PERIOD_MS, PAGE_PERIOD_MS, TimeUnit.MILLISECONDS);
  }

  /** Reads one page and deletes the expired rows in it. Returns the number of deleted rows. */
  public Either<IdempotencyFailure, Integer> purgePage() {
    if (leases.acquire(LEASE_NAME).isLeft()) {
      return Either.right(0);
    }
    return table
        .range(IdempotencyKey.TABLE, nextKey, AFTER_LAST_KEY, ROWS_PER_PAGE)
        .mapLeft(OutcomeStore::unavailable)
        .flatMap(this::purge);
  }

  private Either<IdempotencyFailure, Integer> purge(List<Row> page) {
    long oldestKeptMs = Math.min(wall.millis(), medianNewestMs) - retention.toMillis();
    List<Row> expired = new ArrayList<>();
    for (Row row : page) {
      IdempotencyRow claim = IdempotencyRow.CODEC.decode(row.value());
      updateNewest(claim);
      if (claim.claimedAtMs() < oldestKeptMs) {
        expired.add(row);
      }
    }
    advance(page);
    return expired.isEmpty() ? Either.right(0) : delete(expired);
  }

  private void updateNewest(IdempotencyRow claim) {
    RequestIds.entryOf(claim.requestId())
        .ifPresent(entry -> newestMsByEntry.merge(entry, claim.claimedAtMs(), Math::max));
  }

  private void advance(List<Row> page) {
    if (page.size() == ROWS_PER_PAGE) {
      nextKey = page.get(page.size() - 1).key().key() + '\0';
      return;
    }
    nextKey = FIRST_KEY;
    List<Long> newest = newestMsByEntry.values().stream().sorted().toList();
    medianNewestMs = newest.isEmpty() ? 0 : newest.get((newest.size() - 1) / 2);
    newestMsByEntry.clear();
  }

  private Either<IdempotencyFailure, Integer> delete(List<Row> rows) {
    List<Condition> unchanged = new ArrayList<>();
    List<Mutation> deletes = new ArrayList<>();
    for (Row row : rows) {
      unchanged.add(new Condition.VersionIs(row.key(), row.version()));
      deletes.add(new Mutation.Delete(row.key()));
    }
    Either<PlatformFailure, CommitResult> result =
        table.commit(new Transaction(unchanged, deletes));
    return result
        .mapLeft(OutcomeStore::unavailable)
        .map(decided -> decided instanceof CommitResult.Committed ? rows.size() : 0);
  }
}
