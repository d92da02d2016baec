package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Incarnations of backend servers that drained or whose registration is gone.
 *
 * <p>Keeps a store that was restored from a copy from bringing them back: an incarnation that
 * drained never serves again; one whose registration had gone serves again only if it registers
 * anew. Not thread-safe.
 */
final class DepartedServers {
  /** How long an incarnation is remembered; copies of the store are much younger. */
  private static final long MEMORY_NANOS = Duration.ofMinutes(10).toNanos();

  private final Map<String, Departure> departures = new HashMap<>();

  void onDraining(String incarnation, long nowNanos) {
    departures.put(incarnation, new Departure(true, nowNanos));
  }

  void onGone(String incarnation, long nowNanos) {
    departures.putIfAbsent(incarnation, new Departure(false, nowNanos));
  }

  /**
   * Returns whether an incarnation that is registered as ready may serve.
   *
   * @param fromCopy whether the registration was read from a copy, rather than written just now
   */
  boolean mayServe(String incarnation, boolean fromCopy) {
    Departure departure = departures.get(incarnation);
    return departure == null || !(departure.drained() || fromCopy);
  }

  void expire(long nowNanos) {
    departures.values().removeIf(d -> nowNanos - d.nanos() > MEMORY_NANOS);
  }

  /** How and when an incarnation departed. Immutable. */
  private record Departure(boolean drained, long nanos) {}
}
