package org.guavagw.gateway.spi;

import java.util.List;

/**
 * Rows of a table from one snapshot. Immutable.
 *
 * @param era number of times that the store was restored from a copy; versions of different eras
 *     cannot be compared
 * @param version version of the store at the snapshot
 * @param storeMillis the store's monotonic clock at the snapshot
 */
public record RowBatch(List<StoredRow> rows, long era, long version, long storeMillis) {
  public RowBatch {
    rows = List.copyOf(rows);
  }
}
