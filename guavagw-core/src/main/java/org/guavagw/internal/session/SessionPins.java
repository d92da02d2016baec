package org.guavagw.internal.session;

import java.time.Duration;
import org.guavagw.config.VersionRef;

/** Stores the version of a model that each session is pinned to. Thread-safe. */
public interface SessionPins {
  /** Time after a failure of the table service before it is queried again. */
  Duration LOOKUP_RETRY_DELAY = Duration.ofSeconds(2);

  /** Looks up the pin of a session. */
  PinLookupResult find(String team, String sessionId, String model);

  /**
   * Pins a session unless it already has a pin. Returns the version that the session is pinned to
   * afterwards.
   *
   * @param replace whether to replace an existing pin, because its version was withdrawn
   */
  VersionRef pin(String team, String sessionId, VersionRef version, boolean replace);
}
