package org.guavagw.standins.engine;

import java.time.Duration;

/**
 * Properties of a prefix cache and of the events that it publishes. Immutable.
 *
 * @param blocks that fit into memory
 * @param eventLag time until an event is published
 * @param eventLoss share of events that are never published
 * @param keptEvents events that can still be asked for
 * @param seed of the choice of lost events
 */
public record PrefixCacheSettings(
    int blocks, Duration eventLag, double eventLoss, int keptEvents, long seed) {
  /** A thousand blocks and events without lag or loss. */
  public static PrefixCacheSettings small() {
    return new PrefixCacheSettings(1000, Duration.ZERO, 0, 1000, 1);
  }
}
