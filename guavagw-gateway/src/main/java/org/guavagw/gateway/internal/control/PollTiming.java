package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.function.Supplier;

/**
 * Timing of the polls for one table. Immutable.
 *
 * @param timeoutSupplier how long the store may hold a poll while nothing changes
 * @param batchDelaySupplier pause after a change, so that the next poll returns further changes in
 *     one batch
 * @param firstPollDelaySupplier pause between the first read of the whole table and the first poll
 */
record PollTiming(
    Supplier<Duration> timeoutSupplier,
    Supplier<Duration> batchDelaySupplier,
    Supplier<Duration> firstPollDelaySupplier) {
  Duration timeout() {
    return timeoutSupplier.get();
  }

  Duration batchDelay() {
    return batchDelaySupplier.get();
  }

  Duration firstPollDelay() {
    return firstPollDelaySupplier.get();
  }
}
