package org.guavagw.cli.bench.control;

/**
 * What the system went through when much changed at once. Immutable.
 *
 * @param restart while every entry was replaced, one after another
 * @param settledMs time from the last replacement until every entry knew every other
 * @param storeReturn around the return of a table service that was away
 * @param caughtUpMs time from its return until the changes made meanwhile were in force
 * @param dataCentreLost around the loss of all entries of one data centre
 * @param distrustedMs time from the loss until no other entry trusted them
 */
record StormResult(
    BenchScale scale,
    int snapshotBytes,
    PeakMeter.Peaks restart,
    double settledMs,
    PeakMeter.Peaks storeReturn,
    double caughtUpMs,
    PeakMeter.Peaks dataCentreLost,
    double distrustedMs) {}
