package org.guavagw.internal.once;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Deletes claims that are older than their retention, one page at a time.
 *
 * <p>Age counts from the median over entries of their newest claims in the last whole pass, and not
 * from this entry's wall clock if that is ahead, so that one clock that jumps deletes nothing
 * early. Confined to one control thread.
 */
public final class OncePurge {
  private static final String LEASE_NAME = "once-purge";
  private static final int ROWS_PER_PAGE = 100;
  private static final String FIRST_KEY = "";
  private static final String AFTER_LAST_KEY = "\uffff";

  private final Map<String, Long> newestByEntry = new HashMap<>();
  private final TableService table;
  private final LeaseService leases;
  private final Duration retention;
  private final InstantSource wall;
  private String nextKey = FIRST_KEY;
  private long agreedNowMs;

  public OncePurge(
      TableService table, LeaseService leases, Duration retention, InstantSource wall) {
    this.table = table;
    this.leases = leases;
    this.retention = retention;
    this.wall = wall;
  }

  /** Reads one page and deletes what is too old in it; gives back how many rows that were. */
  public Either<OnceFailure, Integer> purgePage() {
    if (leases.acquire(LEASE_NAME).isLeft()) {
      return Either.right(0);
    }
    return table
        .range(OnceKey.TABLE, nextKey, AFTER_LAST_KEY, ROWS_PER_PAGE)
        .mapLeft(OutcomeStore::unavailable)
        .flatMap(this::purge);
  }

  private Either<OnceFailure, Integer> purge(List<Row> page) {
    long oldestKeptMs = Math.min(wall.millis(), agreedNowMs) - retention.toMillis();
    List<Row> old = new ArrayList<>();
    for (Row row : page) {
      OnceRow claim = OnceRow.CODEC.decode(row.value());
      noteTime(claim);
      if (claim.claimedAtMs() < oldestKeptMs) {
        old.add(row);
      }
    }
    moveOn(page);
    return old.isEmpty() ? Either.right(0) : delete(old);
  }

  private void noteTime(OnceRow claim) {
    RequestIds.entryOf(claim.requestId())
        .ifPresent(entry -> newestByEntry.merge(entry, claim.claimedAtMs(), Math::max));
  }

  private void moveOn(List<Row> page) {
    if (page.size() == ROWS_PER_PAGE) {
      nextKey = page.get(page.size() - 1).key().key() + '\0';
      return;
    }
    nextKey = FIRST_KEY;
    List<Long> newest = newestByEntry.values().stream().sorted().toList();
    agreedNowMs = newest.isEmpty() ? 0 : newest.get((newest.size() - 1) / 2);
    newestByEntry.clear();
  }

  private Either<OnceFailure, Integer> delete(List<Row> rows) {
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
