package org.guavagw.gateway.internal.peers;

import java.util.List;
import org.guavagw.gateway.spi.StoredRow;
import org.guavagw.internal.peer.PeerMessage;

/**
 * The answer to a {@link ConfigQuery}. Immutable.
 *
 * @param row the row of the sender's configuration if it is newer than that of the querying entry;
 *     otherwise empty
 */
public record ConfigAnswer(List<StoredRow> row) implements PeerMessage {
  public ConfigAnswer {
    row = List.copyOf(row);
  }
}
