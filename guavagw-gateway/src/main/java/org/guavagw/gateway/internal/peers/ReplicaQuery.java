package org.guavagw.gateway.internal.peers;

import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Asks a hub for the changes of the control tables. Immutable.
 *
 * @param era era of the store in which the replicas were read; negative if they were read in
 *     different ones
 * @param versions by table, the version of the replica of the querying entry
 */
public record ReplicaQuery(long era, Map<String, Long> versions) implements PeerMessage {
  public ReplicaQuery {
    versions = Map.copyOf(versions);
  }

  /** Returns the version of the replica of a table; 0 if there is none. */
  public long versionOf(String table) {
    return versions.getOrDefault(table, 0L);
  }
}
