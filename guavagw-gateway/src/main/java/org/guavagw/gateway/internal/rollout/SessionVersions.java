package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;

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

  /**
   * Records the version that served a session.
   *
   * @param here whether this entry served it rather than another one
   */
  void remember(String session, String version, boolean here, long nowNanos) {
    lastUses.put(session, new LastUse(version, here, nowNanos));
    Iterator<LastUse> oldest = lastUses.values().iterator();
    while (oldest.hasNext()) {
      LastUse lastUse = oldest.next();
      if (lastUses.size() <= MAX_SESSIONS && nowNanos - lastUse.nanos() <= timeoutNanos) {
        return;
      }
      oldest.remove();
    }
  }

  /** Calls an action for each session that this entry served, with its version. */
  void forEachServedHere(OptionalLong sinceNanos, BiConsumer<String, String> action) {
    lastUses.forEach(
        (session, use) -> {
          if (use.here() && (sinceNanos.isEmpty() || use.nanos() - sinceNanos.getAsLong() > 0)) {
            action.accept(session, use.version());
          }
        });
  }

  /** A version and the time of its last use, here or at another entry. Immutable. */
  private record LastUse(String version, boolean here, long nanos) {}
}
