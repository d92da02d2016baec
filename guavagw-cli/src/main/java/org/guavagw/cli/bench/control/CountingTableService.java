package org.guavagw.cli.bench.control;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/** Counts calls by table and can simulate an outage of its delegate. Thread-safe. */
final class CountingTableService implements TableService {
  private final TableService delegate;
  private final Map<String, LongAdder> counts = new ConcurrentHashMap<>();
  private volatile boolean down;

  CountingTableService(TableService delegate) {
    this.delegate = delegate;
  }

  void setDown(boolean next) {
    down = next;
  }

  /** Returns the number of calls so far, by kind and table. */
  Map<String, Long> counts() {
    Map<String, Long> sums = new TreeMap<>();
    counts.forEach((name, n) -> sums.put(name, n.sum()));
    return sums;
  }

  private void count(String kind, String table) {
    counts.computeIfAbsent(kind + " " + table, k -> new LongAdder()).increment();
  }

  @Override
  public Either<PlatformFailure, Optional<Row>> read(RowKey key) {
    count("read", key.table());
    return down ? unavailable() : delegate.read(key);
  }

  @Override
  public Either<PlatformFailure, List<Row>> range(String table, String from, String to, int limit) {
    count("read", table);
    return down ? unavailable() : delegate.range(table, from, to, limit);
  }

  @Override
  public Either<PlatformFailure, CommitResult> commit(Transaction transaction) {
    count("write", transaction.mutations().get(0).key().table());
    return down ? unavailable() : delegate.commit(transaction);
  }

  private static <T> Either<PlatformFailure, T> unavailable() {
    return Either.left(PlatformFailure.notApplied("simulated outage"));
  }
}
