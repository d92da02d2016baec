package org.guavagw.cli.bench.billing;

/**
 * Calculated write rates for a number of writers that share one write limit. Immutable.
 *
 * @param writers number of processes that write segments: entries, or delegates of entries
 * @param intervalMs time between two segment writes of one writer
 * @param meanWaitMs mean time that an answer waits for its intent
 * @param recordsPerWrite number of intents and bills per write
 */
record WriteForecast(
    int writers,
    double writesPerSecond,
    double intervalMs,
    double meanWaitMs,
    double recordsPerWrite) {
  private static final double MS_PER_SECOND = 1_000;
  private static final int RECORDS_PER_REQUEST = 2;

  /** Calculates the forecast for a load that keeps every writer busy. */
  static WriteForecast of(
      int writers, int storeWritesPerSecond, int requestsPerSecond, double commitMs) {
    double interval = Math.max(commitMs, MS_PER_SECOND * writers / storeWritesPerSecond);
    double writes = MS_PER_SECOND * writers / interval;
    double records = RECORDS_PER_REQUEST * requestsPerSecond / writes;
    return new WriteForecast(writers, writes, interval, interval / 2 + commitMs, records);
  }
}
