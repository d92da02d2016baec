package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.guavagw.gateway.internal.peers.CrashSuspect;

/**
 * The requests that waited on backend servers when these ended, as seen by all entries.
 *
 * <p>Invariants: each suspect is kept once, with the time at which it was first learned; holds at
 * most {@link #MAX_SUSPECTS}, the latest. Not thread-safe.
 */
final class CrashEvidence {
  /** How long a suspect is kept: some holds and the tests after them. */
  static final Duration MEMORY = Duration.ofMinutes(10);

  private static final int MAX_SUSPECTS = 500;

  /** How long other entries are told of a suspect: messages may be lost or late. */
  private static final Duration TELL_TIME = Duration.ofSeconds(5);

  /** Bounds the size of a message; the latest are told. */
  private static final int MAX_TOLD = 32;

  private final Map<CrashSuspect, Known> suspects = new LinkedHashMap<>();

  /** Adds a suspect; returns whether it is news. */
  boolean add(CrashSuspect suspect, boolean own, long nowNanos) {
    if (suspects.putIfAbsent(suspect, new Known(nowNanos, own)) != null) {
      return false;
    }
    if (suspects.size() > MAX_SUSPECTS) {
      suspects.remove(suspects.keySet().iterator().next());
    }
    return true;
  }

  Collection<CrashSuspect> all() {
    return suspects.keySet();
  }

  /** Returns the parts of all suspects. */
  Set<String> parts() {
    return suspects.keySet().stream()
        .flatMap(s -> s.parts().stream())
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the suspects that this entry saw itself, and of late. */
  Set<CrashSuspect> toTell(long nowNanos) {
    if (suspects.isEmpty()) {
      return Set.of();
    }
    return suspects.entrySet().stream()
        .filter(e -> e.getValue().own())
        .filter(e -> nowNanos - e.getValue().nanos() < TELL_TIME.toNanos())
        .sorted(Map.Entry.comparingByValue((a, b) -> Long.compare(b.nanos(), a.nanos())))
        .limit(MAX_TOLD)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Forgets old suspects; returns whether there were any. */
  boolean expire(long nowNanos) {
    return suspects.values().removeIf(k -> nowNanos - k.nanos() > MEMORY.toNanos());
  }

  /** When a suspect was learned, and whether this entry saw it itself. Immutable. */
  private record Known(long nanos, boolean own) {}
}
