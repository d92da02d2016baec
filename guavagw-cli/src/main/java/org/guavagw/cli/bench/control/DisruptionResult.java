package org.guavagw.cli.bench.control;

/**
 * Results of the restart and outage round. Immutable.
 *
 * @param restart peak rates during a rolling restart of all entries
 * @param settledMs time from the last restart until every entry knew all other entries
 * @param storeReturn peak rates during and after an outage of the table service
 * @param caughtUpMs time from the end of the outage until the changes made during it were in force
 * @param dataCentreLost peak rates after the loss of all entries of one data centre
 * @param distrustedMs time from the loss until no other entry considered them alive
 */
record DisruptionResult(
    BenchScale scale,
    int snapshotBytes,
    PeakRateMeter.Peaks restart,
    double settledMs,
    PeakRateMeter.Peaks storeReturn,
    double caughtUpMs,
    PeakRateMeter.Peaks dataCentreLost,
    double distrustedMs) {}
