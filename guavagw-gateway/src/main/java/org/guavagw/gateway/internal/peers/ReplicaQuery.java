package org.guavagw.gateway.internal.peers;

import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Asks for changes of the tables that entries follow. Immutable.
 *
 * @param versions by table, the version that the asking entry has
 */
public record ReplicaQuery(Map<String, Long> versions) implements PeerMessage {
  public ReplicaQuery {
    versions = Map.copyOf(versions);
  }

  /** The version that the asking entry has of a table. */
  public long versionOf(String table) {
    return versions.getOrDefault(table, 0L);
  }
}
