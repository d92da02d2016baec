package org.guavagw.internal.session;

import java.util.Optional;
import org.guavagw.config.VersionRef;

/** Remembers which version of a model a session runs on. Thread-safe. */
public interface SessionPins {
  /** The version that the session is pinned to. */
  Optional<String> find(String team, String sessionId, String model);

  /**
   * Pins a session unless another entry already has, and gives the version that holds.
   *
   * @param replace whether the earlier pin no longer counts because its version was withdrawn
   */
  VersionRef pin(String team, String sessionId, VersionRef version, boolean replace);
}
