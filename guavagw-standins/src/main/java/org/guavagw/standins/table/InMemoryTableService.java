package org.guavagw.standins.table;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.guavagw.platform.CommitResult;
import org.guavagw.platform.Condition;
import org.guavagw.platform.Mutation;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.RowKey;
import org.guavagw.platform.TableService;
import org.guavagw.platform.Transaction;

/**
 * A table service in memory that never fails.
 *
 * <p>Thread-safe and linearizable: each call takes effect at one instant between its start and its
 * end. Row versions come from one counter, so that a row written again after a delete never gets an
 * earlier version.
 */
public final class InMemoryTableService implements TableService {
  private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();
  private long lastVersion;

  @Override
  public synchronized Either<PlatformFailure, Optional<Row>> read(RowKey key) {
    return Either.right(find(key));
  }

  @Override
  public synchronized Either<PlatformFailure, List<Row>> range(
      String table, String from, String to, int limit) {
    if (from.compareTo(to) >= 0) {
      return Either.right(List.of());
    }
    return Either.right(
        rows(table).subMap(from, true, to, false).values().stream().limit(limit).toList());
  }

  @Override
  public synchronized Either<PlatformFailure, CommitResult> commit(Transaction transaction) {
    List<RowKey> failed =
        transaction.conditions().stream().filter(c -> !holds(c)).map(Condition::key).toList();
    if (!failed.isEmpty()) {
      return Either.right(new CommitResult.Conflict(failed));
    }
    transaction.mutations().forEach(this::apply);
    return Either.right(new CommitResult.Committed());
  }

  private boolean holds(Condition condition) {
    Optional<Row> row = find(condition.key());
    if (condition instanceof Condition.VersionIs v) {
      return row.filter(r -> r.version() == v.version()).isPresent();
    }
    return row.isEmpty();
  }

  private void apply(Mutation mutation) {
    RowKey key = mutation.key();
    if (mutation instanceof Mutation.Put put) {
      rows(key.table()).put(key.key(), new Row(key, ++lastVersion, put.value().clone()));
      return;
    }
    rows(key.table()).remove(key.key());
  }

  private Optional<Row> find(RowKey key) {
    return Optional.ofNullable(rows(key.table()).get(key.key()));
  }

  private NavigableMap<String, Row> rows(String table) {
    return tables.computeIfAbsent(table, t -> new TreeMap<>());
  }
}
