package org.guavagw.standins.table;

import com.google.common.collect.ConcurrentHashMultiset;
import com.google.common.collect.Multiset;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;
import org.guavagw.standins.fault.CallFaultInjector;

/**
 * A table service with injected faults that counts calls by table. Several wrappers of one service
 * simulate clients that lose their connections independently. Thread-safe.
 */
public final class FaultyTableService implements TableService {
  private final TableService delegate;
  private final CallFaultInjector faults;
  private final Multiset<String> reads = ConcurrentHashMultiset.create();
  private final Multiset<String> writes = ConcurrentHashMultiset.create();

  /** Wraps a service; {@code seed} is the seed of random faults. */
  public FaultyTableService(TableService delegate, long seed) {
    this.delegate = delegate;
    this.faults = new CallFaultInjector(seed);
  }

  /** Returns the faults, which can be set. */
  public CallFaultInjector faults() {
    return faults;
  }

  /** Returns the number of read calls to a table, including failed ones. */
  public int reads(String table) {
    return reads.count(table);
  }

  /** Returns the number of rows of a table to be written or deleted, including failed calls. */
  public int writes(String table) {
    return writes.count(table);
  }

  /** Returns the number of read calls to all tables, including failed ones. */
  public int reads() {
    return reads.size();
  }

  /** Returns the number of rows of all tables to be written or deleted, including failed calls. */
  public int writes() {
    return writes.size();
  }

  @Override
  public Either<PlatformFailure, Optional<Row>> read(RowKey key) {
    reads.add(key.table());
    return faults.call(() -> delegate.read(key));
  }

  @Override
  public Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit) {
    reads.add(table);
    return faults.call(() -> delegate.range(table, from, to, limit));
  }

  @Override
  public Either<PlatformFailure, CommitResult> commit(Transaction transaction) {
    transaction.mutations().forEach(m -> writes.add(m.key().table()));
    return faults.call(() -> delegate.commit(transaction));
  }
}
