package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
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

  /** How long other entries are notified of a suspect: messages may be lost or late. */
  private static final Duration NOTICE_TIME = Duration.ofSeconds(5);

  /** Bounds the size of a message or row; the latest are kept. */
  private static final int MAX_NOTICES = 32;

  private final Map<CrashSuspect, Known> suspects = new LinkedHashMap<>();
  private final Map<String, Ends> endsByRequest = new HashMap<>();

  /** Adds a suspect that was learned at a time; returns whether it is new. */
  boolean add(CrashSuspect suspect, boolean own, long nowNanos) {
    if (suspects.putIfAbsent(suspect, new Known(nowNanos, own)) != null) {
      return false;
    }
    if (suspects.size() > MAX_SUSPECTS) {
      suspects.remove(suspects.keySet().iterator().next());
      recount();
    } else {
      count(suspect, nowNanos);
    }
    return true;
  }

  private void count(CrashSuspect suspect, long nowNanos) {
    Ends ends = endsByRequest.computeIfAbsent(suspect.fingerprint(), f -> new Ends());
    boolean first = ends.servers.isEmpty();
    ends.servers.add(suspect.incarnation());
    if (first || nowNanos - ends.lastNanos > 0) {
      ends.lastNanos = nowNanos;
    }
  }

  private void recount() {
    endsByRequest.clear();
    suspects.forEach((suspect, known) -> count(suspect, known.nanos()));
  }

  boolean isEmpty() {
    return suspects.isEmpty();
  }

  Collection<CrashSuspect> all() {
    return suspects.keySet();
  }

  /** Returns the number of servers that ended while a request waited there. */
  int serversEnded(String fingerprint) {
    Ends ends = endsByRequest.get(fingerprint);
    return ends == null ? 0 : ends.servers.size();
  }

  /** Returns the time since the last such end was learned of; very long if there was none. */
  Duration sinceLastEnd(String fingerprint, long nowNanos) {
    Ends ends = endsByRequest.get(fingerprint);
    return ends == null ? MEMORY : Duration.ofNanos(nowNanos - ends.lastNanos);
  }

  /** Returns the fingerprints of all suspects. */
  Set<String> requests() {
    return endsByRequest.keySet();
  }

  /** Returns the parts of all suspects. */
  Set<String> parts() {
    return suspects.keySet().stream()
        .flatMap(s -> s.parts().stream())
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the suspects that this entry saw itself, and of late. */
  Set<CrashSuspect> recentOwn(long nowNanos) {
    if (suspects.isEmpty()) {
      return Set.of();
    }
    return suspects.entrySet().stream()
        .filter(e -> e.getValue().own())
        .filter(e -> nowNanos - e.getValue().nanos() < NOTICE_TIME.toNanos())
        .sorted(Map.Entry.comparingByValue((a, b) -> Long.compare(b.nanos(), a.nanos())))
        .limit(MAX_NOTICES)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the latest suspects that this entry saw itself and for which this is true. */
  List<TimedSuspect> latestOwn(Predicate<CrashSuspect> selected) {
    return suspects.entrySet().stream()
        .filter(e -> e.getValue().own() && selected.test(e.getKey()))
        .map(e -> new TimedSuspect(e.getKey(), e.getValue().nanos(), true))
        .sorted((a, b) -> Long.compare(b.learnedNanos(), a.learnedNanos()))
        .limit(MAX_NOTICES)
        .toList();
  }

  /** Forgets old suspects; returns whether there were any. */
  boolean expire(long nowNanos) {
    boolean expired = suspects.values().removeIf(k -> nowNanos - k.nanos() > MEMORY.toNanos());
    if (expired) {
      recount();
    }
    return expired;
  }

  /** When a suspect was learned, and whether this entry saw it itself. Immutable. */
  private record Known(long nanos, boolean own) {}

  /** The servers that ended while one request waited there. */
  private static final class Ends {
    private final Set<String> servers = new HashSet<>();
    private long lastNanos;
  }
}
