package org.guavagw.internal.billing;

import java.time.Duration;

/**
 * Bounds of billing. Immutable.
 *
 * @param writesPerSecond bill transactions a second over all entries
 * @param recordsPerSegment intents and bills in one row at most
 * @param maxUnbilled requests without a durable bill at one entry before new ones are refused
 * @param deferAfter how long an answer waits for its intent before it is released without
 */
public record BillSettings(
    double writesPerSecond, int recordsPerSegment, int maxUnbilled, Duration deferAfter) {
  private static final double DEFAULT_WRITES_PER_SECOND = 300;
  private static final int DEFAULT_RECORDS_PER_SEGMENT = 500;
  private static final int DEFAULT_MAX_UNBILLED = 100_000;
  private static final Duration DEFAULT_DEFER_AFTER = Duration.ofMillis(400);

  /** The bounds that entries use. */
  public static BillSettings standard() {
    return new BillSettings(
        DEFAULT_WRITES_PER_SECOND,
        DEFAULT_RECORDS_PER_SEGMENT,
        DEFAULT_MAX_UNBILLED,
        DEFAULT_DEFER_AFTER);
  }
}
