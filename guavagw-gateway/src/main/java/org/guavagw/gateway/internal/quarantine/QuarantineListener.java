package org.guavagw.gateway.internal.quarantine;

import java.time.Duration;

/** Is told which prompt parts are held. */
public interface QuarantineListener {
  /** A part is held from now on, and is tested after this time at the earliest. */
  void onHeld(String part, Duration untilTest);

  /** A part is no longer held. */
  void onReleased(String part);
}
