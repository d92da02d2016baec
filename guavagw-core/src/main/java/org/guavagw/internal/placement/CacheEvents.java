package org.guavagw.internal.placement;

import java.util.List;

/**
 * Changes of a backend server's prefix cache. Immutable.
 *
 * @param gap whether events before these were lost
 * @param stored prefix hashes that the cache now holds
 * @param removed prefix hashes that it no longer holds
 */
public record CacheEvents(String bootId, boolean gap, List<Long> stored, List<Long> removed) {
  public CacheEvents {
    stored = List.copyOf(stored);
    removed = List.copyOf(removed);
  }
}
