package org.guavagw.gateway.internal.peers;

import java.util.List;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;

/**
 * The answer of a hub to a {@link ReplicaQuery}. Immutable.
 *
 * @param era era of the store in which the tables were read
 * @param checkedAfterNanos how long after the arrival of the query the orders were last confirmed
 *     to be current; negative if before
 * @param storeMillis the hub's estimate of the store's monotonic clock
 * @param lapsesExpected whether registrations of live backend servers may have lapsed because of a
 *     store outage
 * @param newerConfig the row of the hub's configuration if it is newer than the one in the tables,
 *     because the store was restored from a copy; otherwise empty
 */
public record ReplicaAnswer(
    long era,
    long checkedAfterNanos,
    long storeMillis,
    boolean lapsesExpected,
    List<TableUpdate> tables,
    List<StoredRow> newerConfig)
    implements PeerMessage {
  public ReplicaAnswer {
    tables = List.copyOf(tables);
    newerConfig = List.copyOf(newerConfig);
  }

  /**
   * The changes of one table. Immutable.
   *
   * @param version version of the table after the changes
   * @param whole whether the rows are the whole table rather than only the changed rows
   */
  public record TableUpdate(String table, long version, boolean whole, List<StoredRow> rows) {
    public TableUpdate {
      rows = List.copyOf(rows);
    }
  }
}
