package org.guavagw.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** LRU cache of prompt blocks. Thread-safe. */
final class PrefixCache {
  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final int capacity;
  private final CacheEventLog events;

  PrefixCache(int capacity, CacheEventLog events) {
    this.capacity = capacity;
    this.events = events;
  }

  /** Stores the blocks of a prompt and returns how many of them must be computed. */
  synchronized int store(List<String> hashes) {
    int hits = leadingHits(hashes);
    hashes.forEach(this::touch);
    evict();
    return hashes.size() - hits;
  }

  synchronized void clear() {
    blocks.keySet().forEach(h -> events.publish(CacheEvent.Kind.evicted, h));
    blocks.clear();
  }

  private int leadingHits(List<String> hashes) {
    int hits = 0;
    while (hits < hashes.size() && blocks.containsKey(hashes.get(hits))) {
      hits++;
    }
    return hits;
  }

  private void touch(String hash) {
    if (blocks.put(hash, true) == null) {
      events.publish(CacheEvent.Kind.stored, hash);
    }
  }

  private void evict() {
    Iterator<String> oldest = blocks.keySet().iterator();
    for (int surplus = blocks.size() - capacity; surplus > 0; surplus--) {
      events.publish(CacheEvent.Kind.evicted, oldest.next());
      oldest.remove();
    }
  }
}
