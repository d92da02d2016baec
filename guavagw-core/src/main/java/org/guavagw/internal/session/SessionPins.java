package org.guavagw.internal.session;

import java.time.Duration;
import org.guavagw.config.VersionRef;

/** Remembers which version of a model a session runs on. Thread-safe. */
public interface SessionPins {
  /** A lookup that knew nothing may know more after this time: the table service is asked again. */
  Duration LOOKUP_RETRY = Duration.ofSeconds(2);

  /** What is known of the session's pin. */
  PinLookup find(String team, String sessionId, String model);

  /**
   * Pins a session unless another entry already has, and gives the version that holds.
   *
   * @param replace whether the earlier pin no longer counts because its version was withdrawn
   */
  VersionRef pin(String team, String sessionId, VersionRef version, boolean replace);
}
