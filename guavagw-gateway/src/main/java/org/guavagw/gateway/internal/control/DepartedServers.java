package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Incarnations of backend servers that drained or whose registration is gone.
 *
 * <p>Keeps a store that was restored from a copy from bringing them back: they serve again only if
 * they register anew. Not thread-safe.
 */
final class DepartedServers {
  /** How long an incarnation is remembered; copies of the store are much younger. */
  private static final long MEMORY_NANOS = Duration.ofMinutes(10).toNanos();

  private final Map<String, Long> departedNanos = new HashMap<>();

  void add(String incarnation, long nowNanos) {
    departedNanos.put(incarnation, nowNanos);
  }

  /**
   * Returns whether an incarnation that is registered as ready may serve.
   *
   * @param fromCopy whether the registration was read from a copy, rather than written just now
   */
  boolean mayServe(String incarnation, boolean fromCopy) {
    if (!fromCopy) {
      departedNanos.remove(incarnation);
    }
    return !departedNanos.containsKey(incarnation);
  }

  void expire(long nowNanos) {
    departedNanos.values().removeIf(departed -> nowNanos - departed > MEMORY_NANOS);
  }
}
