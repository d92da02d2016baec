package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The version that each recent session was served by. Not thread-safe.
 *
 * <p>Invariant: a session is forgotten after it was silent for the time that ends it.
 */
final class SessionVersions {
  private static final int MAX_SESSIONS = 20_000;

  private final long endNanos;
  private final Map<String, Seen> seen = new LinkedHashMap<>(64, 0.75f, true);

  SessionVersions(Duration end) {
    this.endNanos = end.toNanos();
  }

  Optional<String> versionOf(String session, long nowNanos) {
    Seen last = seen.get(session);
    if (last == null || nowNanos - last.nanos() > endNanos) {
      return Optional.empty();
    }
    return Optional.of(last.version());
  }

  void remember(String session, String version, long nowNanos) {
    seen.put(session, new Seen(version, nowNanos));
    Iterator<Seen> oldest = seen.values().iterator();
    while (oldest.hasNext()) {
      Seen first = oldest.next();
      if (seen.size() <= MAX_SESSIONS && nowNanos - first.nanos() <= endNanos) {
        return;
      }
      oldest.remove();
    }
  }

  /** A version and when it was last used. Immutable. */
  private record Seen(String version, long nanos) {}
}
