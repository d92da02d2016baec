package org.guavagw.gateway.internal.peers;

import java.util.List;
import org.guavagw.gateway.internal.peers.ReplicaAnswer.TableUpdate;
import org.guavagw.gateway.spi.StoredRow;

/**
 * The part of a {@link ReplicaAnswer} that is compressed. Immutable.
 *
 * @param newerConfig see {@link ReplicaAnswer}
 */
public record ReplicaRows(List<TableUpdate> tables, List<StoredRow> newerConfig) {
  /** At least what a row needs beside its key and its value. */
  private static final int ROW_BYTES = 24;

  public ReplicaRows {
    tables = List.copyOf(tables);
    newerConfig = List.copyOf(newerConfig);
  }

  /** Returns the rows of an answer. */
  public static ReplicaRows of(ReplicaAnswer answer) {
    return new ReplicaRows(answer.tables(), answer.newerConfig());
  }

  /** Returns about how many bytes the rows take if they are not compressed, rather too many. */
  public long approximateBytes() {
    return tables.stream().mapToLong(t -> approximateBytes(t.rows())).sum()
        + approximateBytes(newerConfig);
  }

  private static long approximateBytes(List<StoredRow> rows) {
    return rows.stream().mapToLong(r -> ROW_BYTES + r.key().length() + r.value().length).sum();
  }
}
