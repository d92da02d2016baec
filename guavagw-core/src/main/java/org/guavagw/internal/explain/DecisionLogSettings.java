package org.guavagw.internal.explain;

import java.time.Duration;

/**
 * Bounds of the decision log. Immutable.
 *
 * @param recentRecords records that stay in memory for lookups on the spot
 * @param unwrittenRecords records that wait for the object store before the oldest are dropped
 * @param recordsPerBatch records in one object at most
 * @param flushInterval longest time between a record and its object while the store is up
 */
public record DecisionLogSettings(
    int recentRecords, int unwrittenRecords, int recordsPerBatch, Duration flushInterval) {
  private static final int DEFAULT_RECENT_RECORDS = 10_000;
  private static final int DEFAULT_UNWRITTEN_RECORDS = 40_000;
  private static final int DEFAULT_RECORDS_PER_BATCH = 2_000;
  private static final Duration DEFAULT_FLUSH_INTERVAL = Duration.ofSeconds(30);

  /** The bounds that entries use. */
  public static DecisionLogSettings standard() {
    return new DecisionLogSettings(
        DEFAULT_RECENT_RECORDS,
        DEFAULT_UNWRITTEN_RECORDS,
        DEFAULT_RECORDS_PER_BATCH,
        DEFAULT_FLUSH_INTERVAL);
  }
}
