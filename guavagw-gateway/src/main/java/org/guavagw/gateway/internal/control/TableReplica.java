package org.guavagw.gateway.internal.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.spi.RowBatch;
import org.guavagw.gateway.spi.StoredRow;

/**
 * This entry's copy of one table, fed by the store or by a hub.
 *
 * <p>Invariants: within an era of the store the version never decreases, and rows of different eras
 * are never mixed; the listener gets each change once, or as part of a snapshot; removed rows are
 * kept as tombstones for a while, so that other entries can learn of the removal. Confined to the
 * control thread.
 */
final class TableReplica {
  /**
   * Tombstones that are kept: far more than accumulate in the time that an entry may lag behind.
   */
  private static final int MAX_TOMBSTONES = 1000;

  private static final Comparator<StoredRow> BY_VERSION =
      Comparator.comparingLong(StoredRow::version).thenComparing(StoredRow::key);

  private final String table;
  private final TableListener listener;
  private final Map<String, StoredRow> rowsByKey = new HashMap<>();
  private final TreeSet<StoredRow> rowsByVersion = new TreeSet<>(BY_VERSION);
  private long era;
  private long version;
  private long historyStart;
  private int tombstones;
  private boolean loaded;
  private ClockReading lastChecked;

  TableReplica(String table, TableListener listener) {
    this.table = table;
    this.listener = listener;
  }

  String table() {
    return table;
  }

  /** Returns the version of the store that the rows reflect. */
  long version() {
    return version;
  }

  /** Returns the era of the store in which the rows were read. */
  long era() {
    return era;
  }

  /** Returns whether the whole table was read at least once. */
  boolean isLoaded() {
    return loaded;
  }

  /** Returns when the rows were last confirmed to be current. */
  Optional<ClockReading> lastChecked() {
    return Optional.ofNullable(lastChecked);
  }

  /** Replaces all rows by a snapshot, unless it is older than the replica. */
  void applySnapshot(RowBatch batch, ClockReading checkedAt, long nowNanos) {
    boolean sameEra = batch.era() == era;
    if (loaded && (sameEra ? batch.version() < version : batch.era() < era)) {
      return;
    }
    boolean restored = loaded && !sameEra;
    era = batch.era();
    rowsByKey.clear();
    rowsByVersion.clear();
    tombstones = 0;
    batch.rows().forEach(this::put);
    version = batch.version();
    historyStart = version;
    loaded = true;
    listener.onStoreClock(batch.storeMillis(), nowNanos);
    if (restored) {
      listener.onRestored(batch.rows(), nowNanos);
      lastChecked = null;
    } else {
      listener.onSnapshot(batch.rows(), nowNanos);
    }
    recordCheck(checkedAt);
  }

  /** Applies changes of the replica's era, without those that the replica already has. */
  void applyChanges(RowBatch batch, ClockReading checkedAt, long nowNanos) {
    if (batch.era() != era) {
      return;
    }
    List<StoredRow> newRows = batch.rows().stream().filter(r -> r.version() > version).toList();
    newRows.forEach(this::put);
    dropOldTombstones();
    version = Math.max(version, batch.version());
    listener.onStoreClock(batch.storeMillis(), nowNanos);
    if (!newRows.isEmpty()) {
      listener.onChanges(newRows, nowNanos);
    }
    recordCheck(checkedAt);
  }

  private void recordCheck(ClockReading checkedAt) {
    if (lastChecked == null || checkedAt.nanos() - lastChecked.nanos() > 0) {
      lastChecked = checkedAt;
    }
    listener.onChecked(checkedAt);
  }

  private void put(StoredRow row) {
    StoredRow earlier = rowsByKey.put(row.key(), row);
    if (earlier != null) {
      rowsByVersion.remove(earlier);
      tombstones -= earlier.removed() ? 1 : 0;
    }
    rowsByVersion.add(row);
    tombstones += row.removed() ? 1 : 0;
  }

  private void dropOldTombstones() {
    if (tombstones <= MAX_TOMBSTONES) {
      return;
    }
    List<StoredRow> removed = rowsByVersion.stream().filter(StoredRow::removed).toList();
    for (StoredRow row : removed.subList(0, removed.size() - MAX_TOMBSTONES)) {
      rowsByVersion.remove(row);
      rowsByKey.remove(row.key());
      tombstones--;
      historyStart = Math.max(historyStart, row.version());
    }
  }

  /** Returns whether anything changed, or may have changed, after a version of an era. */
  boolean changedSince(long sinceEra, long since) {
    return sinceEra != era || since < historyStart || !rowsSince(since).isEmpty();
  }

  /**
   * Returns the changes after a version of an era, or the whole table if the history does not go
   * back that far.
   */
  TableUpdate updateSince(long sinceEra, long since) {
    boolean whole = sinceEra != era || since < historyStart;
    List<StoredRow> rows =
        whole
            ? rowsByKey.values().stream().filter(r -> !r.removed()).toList()
            : List.copyOf(rowsSince(since));
    return new TableUpdate(table, version, whole, rows);
  }

  private SortedSet<StoredRow> rowsSince(long since) {
    return rowsByVersion.tailSet(new StoredRow("", new byte[0], since + 1, false));
  }
}
