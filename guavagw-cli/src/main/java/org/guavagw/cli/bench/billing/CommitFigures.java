package org.guavagw.cli.bench.billing;

/**
 * What a run measured. Immutable.
 *
 * @param deferred intents that were not durable in time
 * @param unwritten records that the store did not hold at the end
 */
record CommitFigures(
    int entries,
    int requests,
    double segmentsPerSecond,
    double recordsPerSegment,
    long p50Micros,
    long p95Micros,
    long p99Micros,
    long maxMicros,
    int deferred,
    int unwritten) {}
