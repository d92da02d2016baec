package org.guavagw.cli.bench.billing;

/**
 * Results of the intent wait bench. Immutable.
 *
 * @param deferred number of intents that were not durable in time
 * @param unwritten number of records missing from the store at the end
 */
record IntentWaitResult(
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
