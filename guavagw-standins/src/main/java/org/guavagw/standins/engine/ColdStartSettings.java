package org.guavagw.standins.engine;

import java.time.Duration;

/**
 * How an engine warms up after its start. It is warm once it has finished enough requests and has
 * been up for long enough. Immutable.
 *
 * @param coldSlots requests that the engine takes at once while cold
 * @param requests finished requests until warm
 * @param time until warm
 */
public record ColdStartSettings(int coldSlots, int requests, Duration time) {
  /** An engine that needs no warm-up. */
  public static ColdStartSettings warm() {
    return new ColdStartSettings(1, 0, Duration.ZERO);
  }
}
