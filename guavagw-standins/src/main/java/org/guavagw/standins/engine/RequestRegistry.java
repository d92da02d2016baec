package org.guavagw.standins.engine;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/** Requests that an engine works on or can resume. Thread-safe. */
final class RequestRegistry {
  private static final int MAX_RESUMABLE = 20_000;

  private final Map<String, Generation> active = new ConcurrentHashMap<>();
  private final Cache<String, Boolean> resumable =
      CacheBuilder.newBuilder().maximumSize(MAX_RESUMABLE).build();
  private final AtomicReference<String> newest = new AtomicReference<>("none");

  /** Counts a request in and gives the one that held its id so far. */
  Optional<Generation> begin(String requestId, Generation generation) {
    resumable.put(requestId, true);
    return Optional.ofNullable(active.put(requestId, generation));
  }

  void end(String requestId, Generation generation) {
    active.remove(requestId, generation);
  }

  Optional<Generation> active(String requestId) {
    return Optional.ofNullable(active.get(requestId));
  }

  void failAll() {
    active.values().forEach(Generation::fail);
  }

  boolean canResume(String requestId) {
    return resumable.getIfPresent(requestId) != null;
  }

  /** Notes a request id and gives the one noted before. */
  String exchangeNewest(String requestId) {
    return newest.getAndSet(requestId);
  }

  void forgetResumable() {
    resumable.invalidateAll();
  }
}
