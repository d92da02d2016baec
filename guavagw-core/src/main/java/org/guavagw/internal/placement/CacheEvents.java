package org.guavagw.internal.placement;

import java.util.List;

/**
 * Changes of a backend server's prefix cache. Immutable.
 *
 * @param gap whether earlier events were lost
 * @param stored hashes of prefixes added to the cache
 * @param removed hashes of prefixes removed from the cache
 */
public record CacheEvents(String bootId, boolean gap, List<Long> stored, List<Long> removed) {
  public CacheEvents {
    stored = List.copyOf(stored);
    removed = List.copyOf(removed);
  }
}
