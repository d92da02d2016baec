package org.guavagw.internal.placement;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks which backend servers probably have which prompt prefixes in their cache.
 *
 * <p>Invariant: bounded in the number of prefixes and of backend servers per prefix. May be
 * outdated, because cache events arrive late and with gaps. Thread-safe.
 */
final class PrefixLocations {
  private static final int MAX_PREFIXES = 50_000;
  private static final int MAX_SERVERS_PER_PREFIX = 4;

  private final Cache<Long, List<String>> servers =
      Caffeine.newBuilder().maximumSize(MAX_PREFIXES).build();

  List<String> serversWith(long prefixHash) {
    List<String> found = servers.getIfPresent(prefixHash);
    return found == null ? List.of() : found;
  }

  void onStored(long prefixHash, String server) {
    if (!serversWith(prefixHash).contains(server)) {
      servers.asMap().merge(prefixHash, List.of(server), (old, one) -> withNewest(old, server));
    }
  }

  void onRemoved(long prefixHash, String server) {
    servers.asMap().computeIfPresent(prefixHash, (h, old) -> withoutServerOrNull(old, server));
  }

  void removeServer(String server) {
    servers.asMap().replaceAll((h, old) -> old.contains(server) ? withoutServer(old, server) : old);
  }

  private static List<String> withNewest(List<String> old, String server) {
    List<String> next = new ArrayList<>();
    next.add(server);
    old.stream()
        .filter(s -> !s.equals(server))
        .limit(MAX_SERVERS_PER_PREFIX - 1)
        .forEach(next::add);
    return List.copyOf(next);
  }

  private static List<String> withoutServerOrNull(List<String> old, String server) {
    List<String> left = withoutServer(old, server);
    return left.isEmpty() ? null : left;
  }

  private static List<String> withoutServer(List<String> old, String server) {
    return old.stream().filter(s -> !s.equals(server)).toList();
  }
}
