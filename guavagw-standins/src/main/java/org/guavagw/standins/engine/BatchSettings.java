package org.guavagw.standins.engine;

import java.time.Duration;

/**
 * Properties of a continuous batch. Immutable.
 *
 * @param slots requests that run at once
 * @param queueLimit requests that may wait
 * @param prefillPerBlock time to prefill one block of the prompt that the prefix cache lacks
 * @param timePerToken time per token with one stream in the batch
 * @param slowdownPerStream share by which each further stream lengthens the time per token
 */
public record BatchSettings(
    int slots,
    int queueLimit,
    Duration prefillPerBlock,
    Duration timePerToken,
    double slowdownPerStream) {

  /** Sixteen slots with short delays. */
  public static BatchSettings withShortDelays() {
    return new BatchSettings(16, 64, Duration.ofMillis(1), Duration.ofMillis(2), 0.02);
  }

  /** Many slots and no delays. */
  public static BatchSettings withoutDelays() {
    return new BatchSettings(4096, 4096, Duration.ZERO, Duration.ZERO, 0);
  }

  /** The same with another number of slots and of waiting requests. */
  public BatchSettings withSlots(int slots, int queueLimit) {
    return new BatchSettings(slots, queueLimit, prefillPerBlock, timePerToken, slowdownPerStream);
  }

  /** The same with other delays. */
  public BatchSettings withDelays(Duration prefillPerBlock, Duration timePerToken) {
    return new BatchSettings(slots, queueLimit, prefillPerBlock, timePerToken, slowdownPerStream);
  }

  Duration timePerToken(int running) {
    double factor = 1 + slowdownPerStream * Math.max(0, running - 1);
    return Duration.ofNanos((long) (timePerToken.toNanos() * factor));
  }
}
