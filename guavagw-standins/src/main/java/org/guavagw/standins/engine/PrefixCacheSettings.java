package org.guavagw.standins.engine;

import java.time.Duration;

/**
 * Properties of a prefix cache and of the events that it publishes. Immutable.
 *
 * @param blocks capacity in blocks
 * @param eventLag delay before an event is published
 * @param eventLoss fraction of events that are never published
 * @param keptEvents number of events kept for queries
 * @param seed seed for the choice of lost events
 */
public record PrefixCacheSettings(
    int blocks, Duration eventLag, double eventLoss, int keptEvents, long seed) {
  /** Returns settings with 1000 blocks and events without lag or loss. */
  public static PrefixCacheSettings small() {
    return new PrefixCacheSettings(1000, Duration.ZERO, 0, 1000, 1);
  }
}
