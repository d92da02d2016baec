package org.guavagw.gateway.spi;

import java.util.List;

/**
 * Rows of a table as of one moment. Immutable.
 *
 * @param version version of the store that the rows reflect
 * @param storeMillis the store's steady clock at that moment
 */
public record RowBatch(List<StoredRow> rows, long version, long storeMillis) {
  public RowBatch {
    rows = List.copyOf(rows);
  }
}
