package org.guavagw.gateway.internal.peers;

import java.util.HashMap;
import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Asks a hub for the changes of the control tables. Immutable.
 *
 * @param era era of the store in which the replicas were read; negative if they were read in
 *     different ones
 * @param versions by table, the version of the replica of the querying entry; may say in place of a
 *     table that it accepts a {@link CompressedReplicaAnswer}
 */
public record ReplicaQuery(long era, Map<String, Long> versions) implements PeerMessage {
  /**
   * No name of a table. Earlier builds ignore it, as they look up only the tables that they have.
   */
  private static final String ACCEPTS_COMPRESSED = "accepts:compressed-replica-answer";

  public ReplicaQuery {
    versions = Map.copyOf(versions);
  }

  /** Returns the same query, which says that compressed rows are accepted. */
  public ReplicaQuery acceptingCompressed() {
    Map<String, Long> extended = new HashMap<>(versions);
    extended.put(ACCEPTS_COMPRESSED, 1L);
    return new ReplicaQuery(era, extended);
  }

  /** Returns whether the answer may be a {@link CompressedReplicaAnswer}. */
  public boolean acceptsCompressed() {
    return versions.containsKey(ACCEPTS_COMPRESSED);
  }

  /** Returns the version of the replica of a table; 0 if there is none. */
  public long versionOf(String table) {
    return versions.getOrDefault(table, 0L);
  }
}
