package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * How often a table is asked for. Immutable.
 *
 * @param waitTime how long the store waits for a change
 * @param gatherTime time after a change in which further ones gather, to be taken with one call
 */
record PollTiming(Supplier<Duration> waitTime, Supplier<Duration> gatherTime) {
  Duration patience() {
    return waitTime.get();
  }

  Duration gathering() {
    return gatherTime.get();
  }
}
