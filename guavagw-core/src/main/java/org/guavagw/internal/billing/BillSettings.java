package org.guavagw.internal.billing;

import java.time.Duration;

/**
 * Limits of billing. Immutable.
 *
 * @param writesPerSecond billing transactions per second, summed over all entries
 * @param recordsPerSegment maximum number of intents and bills in one row
 * @param maxUnbilled requests without a durable bill at one entry at which new requests are refused
 * @param deferAfter how long an answer waits for its intent to be durable before it is released
 *     anyway
 */
public record BillSettings(
    double writesPerSecond, int recordsPerSegment, int maxUnbilled, Duration deferAfter) {
  private static final double DEFAULT_WRITES_PER_SECOND = 300;
  private static final int DEFAULT_RECORDS_PER_SEGMENT = 500;
  private static final int DEFAULT_MAX_UNBILLED = 100_000;
  private static final Duration DEFAULT_DEFER_AFTER = Duration.ofMillis(400);

  /** Returns the settings that entries use. */
  public static BillSettings standard() {
    return new BillSettings(
        DEFAULT_WRITES_PER_SECOND,
        DEFAULT_RECORDS_PER_SEGMENT,
        DEFAULT_MAX_UNBILLED,
        DEFAULT_DEFER_AFTER);
  }
}
