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
 * A table service whose calls fail as scripted and are counted by table. Several of them around one
 * service model clients that are cut off apart from each other. Thread-safe.
 */
public final class FaultyTableService implements TableService {
  private final TableService delegate;
  private final CallFaultInjector faults;
  private final Multiset<String> reads = ConcurrentHashMultiset.create();
  private final Multiset<String> writes = ConcurrentHashMultiset.create();

  /** Wraps a service; {@code seed} is that of drawn faults. */
  public FaultyTableService(TableService delegate, long seed) {
    this.delegate = delegate;
    this.faults = new CallFaultInjector(seed);
  }

  /** Faults that can be set. */
  public CallFaultInjector faults() {
    return faults;
  }

  /** Calls that asked to read a table, whatever became of them. */
  public int reads(String table) {
    return reads.count(table);
  }

  /** Rows of a table that calls asked to write or delete, whatever became of them. */
  public int writes(String table) {
    return writes.count(table);
  }

  /** Calls that asked to read any table. */
  public int reads() {
    return reads.size();
  }

  /** Rows of any table that calls asked to write or delete. */
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
