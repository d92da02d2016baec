package org.guavagw.gateway.internal.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The backend servers that said in an answer that they are leaving.
 *
 * <p>Invariant: an incarnation that is leaving never returns, whatever its registration says; a
 * restart of the backend server is another incarnation. Not thread-safe.
 */
public final class LeavingServers {
  /** How long an incarnation is remembered after the last word of it; none leaves for so long. */
  private static final long MEMORY_NANOS = Duration.ofMinutes(10).toNanos();

  /** How long other entries are told of an incarnation: messages may be lost or late. */
  private static final long TELL_NANOS = Duration.ofSeconds(5).toNanos();

  private final Map<String, Long> lastHeardNanos = new HashMap<>();
  private final Map<String, Long> firstSeenNanos = new HashMap<>();

  /** Records the statement of a backend server itself; returns whether it is news. */
  public boolean onStatement(String incarnation, long nowNanos) {
    firstSeenNanos.putIfAbsent(incarnation, nowNanos);
    return lastHeardNanos.put(incarnation, nowNanos) == null;
  }

  /** Records what another entry learned; returns whether it is news. */
  public boolean onReport(String incarnation, long nowNanos) {
    return lastHeardNanos.put(incarnation, nowNanos) == null;
  }

  /** Returns whether an incarnation is leaving. */
  public boolean contains(String incarnation) {
    return lastHeardNanos.containsKey(incarnation);
  }

  /** Returns the incarnations of which this entry learned from themselves, and of late. */
  public Set<String> toTell(long nowNanos) {
    return firstSeenNanos.entrySet().stream()
        .filter(e -> nowNanos - e.getValue() < TELL_NANOS)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Forgets incarnations of which nothing was heard for a long time. */
  public void expire(long nowNanos) {
    lastHeardNanos.values().removeIf(heard -> nowNanos - heard > MEMORY_NANOS);
    firstSeenNanos.keySet().retainAll(lastHeardNanos.keySet());
  }
}
