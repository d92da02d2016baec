package org.guavagw.gateway.internal.peers;

import java.util.List;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Answers a {@link ReplicaQuery}. Immutable.
 *
 * @param checkedAfterNanos how long after the question arrived the orders were last known to be the
 *     newest; negative if that was before
 * @param storeMillis the store's steady clock, as far as the answering entry knows it
 * @param lapsesExpected whether entries of backend servers may be gone for no other reason than an
 *     outage of the store
 */
public record ReplicaAnswer(
    long checkedAfterNanos, long storeMillis, boolean lapsesExpected, List<TableUpdate> tables)
    implements PeerMessage {
  public ReplicaAnswer {
    tables = List.copyOf(tables);
  }

  /**
   * Changes of one table. Immutable.
   *
   * @param version version that the table has with them
   * @param whole whether the rows are the whole table rather than what changed
   */
  public record TableUpdate(String table, long version, boolean whole, List<StoredRow> rows) {
    public TableUpdate {
      rows = List.copyOf(rows);
    }
  }
}
