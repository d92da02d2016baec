package org.guavagw.internal.explain;

import java.time.Duration;

/**
 * Limits and interval of the decision log. Immutable.
 *
 * @param recentRecords records kept in memory for fast lookups
 * @param unwrittenRecords unwritten records kept before the oldest are dropped
 * @param recordsPerBatch maximum number of records in one object
 * @param flushInterval time between writes to the object store
 */
public record DecisionLogSettings(
    int recentRecords, int unwrittenRecords, int recordsPerBatch, Duration flushInterval) {
  private static final int DEFAULT_RECENT_RECORDS = 10_000;
  private static final int DEFAULT_UNWRITTEN_RECORDS = 40_000;
  private static final int DEFAULT_RECORDS_PER_BATCH = 2_000;
  private static final Duration DEFAULT_FLUSH_INTERVAL = Duration.ofSeconds(30);

  /** Returns the default settings. */
  public static DecisionLogSettings standard() {
    return new DecisionLogSettings(
        DEFAULT_RECENT_RECORDS,
        DEFAULT_UNWRITTEN_RECORDS,
        DEFAULT_RECORDS_PER_BATCH,
        DEFAULT_FLUSH_INTERVAL);
  }
}
