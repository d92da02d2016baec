package org.guavagw.internal.load;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.config.GatewayConfig;

/**
 * Short numbers that stand for the ids of backend servers in messages. Immutable.
 *
 * <p>Invariant: two backend servers of one configuration that share a number have none, so that a
 * report is never taken for another's.
 */
record ServerHashes(Set<Integer> shared) {
  static ServerHashes of(GatewayConfig config) {
    Set<Integer> seen = new HashSet<>();
    Set<Integer> shared = new HashSet<>();
    for (BackendServerConfig server : config.backendServers()) {
      if (!seen.add(hash(server.id()))) {
        shared.add(hash(server.id()));
      }
    }
    return new ServerHashes(Set.copyOf(shared));
  }

  boolean isUnique(int hash) {
    return !shared.contains(hash);
  }

  static int hash(String id) {
    return Hashing.murmur3_32_fixed().hashString(id, StandardCharsets.UTF_8).asInt();
  }
}
