package org.guavagw.internal.placement;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayList;
import java.util.List;

/**
 * Which backend servers probably hold which prompt prefixes.
 *
 * <p>Invariant: bounded in prefixes and in backend servers for each. Thread-safe; may be wrong,
 * because cache events come late and with gaps.
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

  void stored(long prefixHash, String server) {
    if (!serversWith(prefixHash).contains(server)) {
      servers.asMap().merge(prefixHash, List.of(server), (old, one) -> withNewest(old, server));
    }
  }

  void removed(long prefixHash, String server) {
    servers.asMap().computeIfPresent(prefixHash, (h, old) -> without(old, server));
  }

  void forget(String server) {
    servers.asMap().replaceAll((h, old) -> old.contains(server) ? rest(old, server) : old);
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

  private static List<String> without(List<String> old, String server) {
    List<String> left = rest(old, server);
    return left.isEmpty() ? null : left;
  }

  private static List<String> rest(List<String> old, String server) {
    return old.stream().filter(s -> !s.equals(server)).toList();
  }
}
