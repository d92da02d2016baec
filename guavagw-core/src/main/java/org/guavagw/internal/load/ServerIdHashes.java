package org.guavagw.internal.load;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.GatewayConfig;

/**
 * Hashes that replace the ids of backend servers in messages. Immutable.
 *
 * <p>Invariant: a hash shared by two backend servers of a configuration is not used for either, so
 * that a report is never attributed to the wrong one.
 */
record ServerIdHashes(Set<Integer> colliding) {
  static ServerIdHashes of(GatewayConfig config) {
    Set<Integer> seen = new HashSet<>();
    Set<Integer> colliding = new HashSet<>();
    for (BackendServerConfig server : config.backendServers()) {
      if (!seen.add(hash(server.id()))) {
        colliding.add(hash(server.id()));
      }
    }
    return new ServerIdHashes(Set.copyOf(colliding));
  }

  boolean isUnique(int hash) {
    return !colliding.contains(hash);
  }

  static int hash(String id) {
    return Hashing.murmur3_32_fixed().hashString(id, StandardCharsets.UTF_8).asInt();
  }
}
