package org.guavagw.internal.session;

import java.util.Optional;

/**
 * Looks up at other entries which version a session is pinned to. Thread-safe; calls block for a
 * bounded time.
 */
@FunctionalInterface
public interface PeerPinLookup {
  /** Finds no pin. */
  PeerPinLookup NONE = key -> Optional.empty();

  /** Returns the version that another entry has cached. */
  Optional<String> lookUp(SessionKey key);
}
