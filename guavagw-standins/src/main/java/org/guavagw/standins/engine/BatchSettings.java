package org.guavagw.standins.engine;

import java.time.Duration;

/**
 * Properties of a continuous batch. Immutable.
 *
 * @param slots maximum number of running requests
 * @param queueLimit maximum number of queued requests
 * @param prefillPerBlock time to prefill one prompt block that is not in the prefix cache
 * @param timePerToken time per token when one request runs
 * @param slowdownPerStream fraction by which each further request increases the time per token
 */
public record BatchSettings(
    int slots,
    int queueLimit,
    Duration prefillPerBlock,
    Duration timePerToken,
    double slowdownPerStream) {

  /** Returns settings with 16 slots and short delays. */
  public static BatchSettings withShortDelays() {
    return new BatchSettings(16, 64, Duration.ofMillis(1), Duration.ofMillis(2), 0.02);
  }

  /** Returns settings with many slots and no delays. */
  public static BatchSettings withoutDelays() {
    return new BatchSettings(4096, 4096, Duration.ZERO, Duration.ZERO, 0);
  }

  /** Returns a copy with other numbers of slots and of queued requests. */
  public BatchSettings withSlots(int slots, int queueLimit) {
    return new BatchSettings(slots, queueLimit, prefillPerBlock, timePerToken, slowdownPerStream);
  }

  /** Returns a copy with other delays. */
  public BatchSettings withDelays(Duration prefillPerBlock, Duration timePerToken) {
    return new BatchSettings(slots, queueLimit, prefillPerBlock, timePerToken, slowdownPerStream);
  }

  Duration timePerToken(int running) {
    double factor = 1 + slowdownPerStream * Math.max(0, running - 1);
    return Duration.ofNanos((long) (timePerToken.toNanos() * factor));
  }
}
