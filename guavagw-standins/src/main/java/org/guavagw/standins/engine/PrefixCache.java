package org.guavagw.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Least recently used blocks of prompts in limited memory. Thread-safe. */
final class PrefixCache {
  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final int capacity;
  private final CacheEventLog events;

  PrefixCache(int capacity, CacheEventLog events) {
    this.capacity = capacity;
    this.events = events;
  }

  /** Stores a prompt and tells how many of its blocks have to be computed. */
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
