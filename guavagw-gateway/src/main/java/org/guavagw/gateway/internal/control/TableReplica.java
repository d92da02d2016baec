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
 * The rows of one table as far as this entry knows them, whoever told it.
 *
 * <p>Invariants: versions ascend; the mirror gets each change once, or as part of a whole read;
 * removed rows are kept for a while, so that other entries can be told of them. Confined to the
 * control thread.
 */
final class TableReplica {
  /** Removed rows that are kept: far more than come within the time that an entry lags behind. */
  private static final int MAX_TOMBSTONES = 1000;

  private static final Comparator<StoredRow> BY_VERSION =
      Comparator.comparingLong(StoredRow::version).thenComparing(StoredRow::key);

  private final String table;
  private final TableListener mirror;
  private final Map<String, StoredRow> newest = new HashMap<>();
  private final TreeSet<StoredRow> history = new TreeSet<>(BY_VERSION);
  private long version;
  private long historyStart;
  private int tombstones;
  private boolean filled;
  private ClockReading checked;

  TableReplica(String table, TableListener mirror) {
    this.table = table;
    this.mirror = mirror;
  }

  String table() {
    return table;
  }

  /** Version of the store that the rows reflect. */
  long version() {
    return version;
  }

  /** Whether the table was read whole. */
  boolean filled() {
    return filled;
  }

  /** When the rows were last known to be the newest. */
  Optional<ClockReading> checked() {
    return Optional.ofNullable(checked);
  }

  /** Takes the whole table; an older one than is known is ignored. */
  void replace(RowBatch batch, ClockReading at, long nowNanos) {
    if (filled && batch.version() < version) {
      return;
    }
    newest.clear();
    history.clear();
    tombstones = 0;
    batch.rows().forEach(this::keep);
    version = batch.version();
    historyStart = version;
    filled = true;
    mirror.storeClock(batch.storeMillis(), nowNanos);
    mirror.replace(batch.rows(), nowNanos);
    noteChecked(at);
  }

  /** Takes changes; those that are known already are left out. */
  void apply(RowBatch batch, ClockReading at, long nowNanos) {
    List<StoredRow> news = batch.rows().stream().filter(r -> r.version() > version).toList();
    news.forEach(this::keep);
    dropOldTombstones();
    version = Math.max(version, batch.version());
    mirror.storeClock(batch.storeMillis(), nowNanos);
    if (!news.isEmpty()) {
      mirror.apply(news, nowNanos);
    }
    noteChecked(at);
  }

  private void noteChecked(ClockReading at) {
    if (checked == null || at.nanos() - checked.nanos() > 0) {
      checked = at;
    }
    mirror.checked(at);
  }

  private void keep(StoredRow row) {
    StoredRow earlier = newest.put(row.key(), row);
    if (earlier != null) {
      history.remove(earlier);
      tombstones -= earlier.removed() ? 1 : 0;
    }
    history.add(row);
    tombstones += row.removed() ? 1 : 0;
  }

  private void dropOldTombstones() {
    if (tombstones <= MAX_TOMBSTONES) {
      return;
    }
    List<StoredRow> removed = history.stream().filter(StoredRow::removed).toList();
    for (StoredRow row : removed.subList(0, removed.size() - MAX_TOMBSTONES)) {
      history.remove(row);
      newest.remove(row.key());
      tombstones--;
      historyStart = Math.max(historyStart, row.version());
    }
  }

  /** Whether anything changed after a version, or may have. */
  boolean changedSince(long since) {
    return since < historyStart || !rowsSince(since).isEmpty();
  }

  /** What changed after a version; the whole table if that is not known any more. */
  TableUpdate updateSince(long since) {
    boolean whole = since < historyStart;
    List<StoredRow> rows =
        whole
            ? newest.values().stream().filter(r -> !r.removed()).toList()
            : List.copyOf(rowsSince(since));
    return new TableUpdate(table, version, whole, rows);
  }

  private SortedSet<StoredRow> rowsSince(long since) {
    return history.tailSet(new StoredRow("", new byte[0], since + 1, false));
  }
}
