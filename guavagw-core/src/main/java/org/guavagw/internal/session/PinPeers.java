package org.guavagw.internal.session;

import java.util.Optional;

/**
 * Asks other entries which version a session runs on. Thread-safe; calls block for a bounded time.
 */
@FunctionalInterface
public interface PinPeers {
  /** Knows nothing. */
  PinPeers NONE = key -> Optional.empty();

  /** The version that another entry remembers. */
  Optional<String> find(SessionKey key);
}
