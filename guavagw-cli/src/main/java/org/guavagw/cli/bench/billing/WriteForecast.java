package org.guavagw.cli.bench.billing;

/**
 * What follows for a number of writers from the pace that they share. Immutable.
 *
 * @param writers processes that write segments: entries, or delegates that write for them
 * @param intervalMs time between two segments of one writer
 * @param meanWaitMs mean time that an answer waits for its intent
 * @param recordsPerWrite intents and bills in one write
 */
record WriteForecast(
    int writers,
    double writesPerSecond,
    double intervalMs,
    double meanWaitMs,
    double recordsPerWrite) {
  private static final double MS_PER_SECOND = 1_000;
  private static final int RECORDS_PER_REQUEST = 2;

  /** The forecast for a load that keeps every writer busy. */
  static WriteForecast of(
      int writers, int storeWritesPerSecond, int requestsPerSecond, double commitMs) {
    double interval = Math.max(commitMs, MS_PER_SECOND * writers / storeWritesPerSecond);
    double writes = MS_PER_SECOND * writers / interval;
    double records = RECORDS_PER_REQUEST * requestsPerSecond / writes;
    return new WriteForecast(writers, writes, interval, interval / 2 + commitMs, records);
  }
}
