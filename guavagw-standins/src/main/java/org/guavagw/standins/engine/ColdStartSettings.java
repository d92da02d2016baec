package org.guavagw.standins.engine;

import java.time.Duration;

/**
 * Cold start of an engine. The engine is cold until it has finished a number of requests and has
 * run for some time. Immutable.
 *
 * @param coldSlots maximum number of running requests while cold
 * @param requests finished requests before the engine is warm
 * @param time minimum time before the engine is warm
 */
public record ColdStartSettings(int coldSlots, int requests, Duration time) {
  /** Returns settings without a cold start. */
  public static ColdStartSettings warm() {
    return new ColdStartSettings(1, 0, Duration.ZERO);
  }
}
