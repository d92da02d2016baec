package org.guavagw.internal.session;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.Optional;
import org.guavagw.config.VersionRef;

/** Keeps pins in this process only. Thread-safe. */
public final class LocalSessionPins implements SessionPins {
  private static final int MAX_PINS = 200_000;
  private static final Duration IDLE_TIMEOUT = Duration.ofHours(2);

  private final Cache<SessionKey, String> pins =
      Caffeine.newBuilder().maximumSize(MAX_PINS).expireAfterAccess(IDLE_TIMEOUT).build();

  @Override
  public Optional<String> find(String team, String sessionId, String model) {
    return Optional.ofNullable(pins.getIfPresent(new SessionKey(team, sessionId, model)));
  }

  @Override
  public VersionRef pin(String team, String sessionId, VersionRef version, boolean replace) {
    SessionKey key = new SessionKey(team, sessionId, version.model());
    if (replace) {
      pins.put(key, version.version());
      return version;
    }
    return new VersionRef(version.model(), pins.get(key, k -> version.version()));
  }
}
