package org.guavagw.gateway.internal.peers;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import org.guavagw.internal.peer.PeerMessage;

/**
 * A {@link ReplicaAnswer} with compressed rows, for followers that accept it. Immutable.
 *
 * @param withoutRows the answer without its tables and its configuration
 * @param rows what {@link ReplicaRowsCodec} made of them; must not be modified
 */
public record CompressedReplicaAnswer(ReplicaAnswer withoutRows, byte[] rows)
    implements PeerMessage {
  public CompressedReplicaAnswer {
    Objects.requireNonNull(withoutRows);
    Objects.requireNonNull(rows);
  }

  /** Returns an answer whose rows are compressed already. */
  public static CompressedReplicaAnswer of(ReplicaAnswer answer, byte[] rows) {
    return new CompressedReplicaAnswer(
        withRows(answer, new ReplicaRows(List.of(), List.of())), rows);
  }

  /**
   * Returns the answer with its rows.
   *
   * @throws IOException if they are unreadable or too long
   */
  public ReplicaAnswer decompress(ReplicaRowsCodec codec) throws IOException {
    return withRows(withoutRows, codec.decompress(rows));
  }

  private static ReplicaAnswer withRows(ReplicaAnswer answer, ReplicaRows rows) {
    return new ReplicaAnswer(
        answer.era(),
        answer.checkedAfterNanos(),
        answer.storeMillis(),
        answer.lapsesExpected(),
        rows.tables(),
        rows.newerConfig());
  }
}
