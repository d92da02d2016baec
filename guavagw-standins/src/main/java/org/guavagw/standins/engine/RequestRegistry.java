package org.guavagw.standins.engine;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/** The requests that an engine is processing or can resume. Thread-safe. */
final class RequestRegistry {
  private static final int MAX_RESUMABLE = 20_000;

  private final Map<String, Generation> active = new ConcurrentHashMap<>();
  private final Cache<String, Boolean> resumable =
      CacheBuilder.newBuilder().maximumSize(MAX_RESUMABLE).build();
  private final AtomicReference<String> newest = new AtomicReference<>("none");

  /** Registers a request and returns the active request that had the same id, if any. */
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

  /** Sets the newest request id and returns the previous one. */
  String replaceNewest(String requestId) {
    return newest.getAndSet(requestId);
  }

  void forgetResumable() {
    resumable.invalidateAll();
  }
}
