package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;

/** Is notified of which requests and prompt parts are held. */
public interface QuarantineListener {
  /** A request is held from now on. */
  void onRequestHeld(String fingerprint, Duration length);

  /** A request is no longer held, as it was answered. */
  void onRequestReleased(String fingerprint);

  /** A prompt part is held from now on, and is tested after this time at the earliest. */
  void onPartHeld(String part, Duration untilTest);

  /** A prompt part is no longer held. */
  void onPartReleased(String part);
}
