package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers the version that served each recent session. Not thread-safe.
 *
 * <p>Invariant: a session is forgotten once it was idle for longer than the session timeout.
 */
final class SessionVersions {
  private static final int MAX_SESSIONS = 20_000;

  private final long timeoutNanos;
  private final Map<String, LastUse> lastUses = new LinkedHashMap<>(64, 0.75f, true);

  SessionVersions(Duration timeout) {
    this.timeoutNanos = timeout.toNanos();
  }

  Optional<String> versionOf(String session, long nowNanos) {
    LastUse lastUse = lastUses.get(session);
    if (lastUse == null || nowNanos - lastUse.nanos() > timeoutNanos) {
      return Optional.empty();
    }
    return Optional.of(lastUse.version());
  }

  void remember(String session, String version, long nowNanos) {
    lastUses.put(session, new LastUse(version, nowNanos));
    Iterator<LastUse> oldest = lastUses.values().iterator();
    while (oldest.hasNext()) {
      LastUse lastUse = oldest.next();
      if (lastUses.size() <= MAX_SESSIONS && nowNanos - lastUse.nanos() <= timeoutNanos) {
        return;
      }
      oldest.remove();
    }
  }

  /** A version and the time of its last use. Immutable. */
  private record LastUse(String version, long nanos) {}
}
