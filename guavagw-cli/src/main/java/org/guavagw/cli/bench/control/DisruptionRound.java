package org.guavagw.cli.bench.control;

import java.time.Duration;

/** Measures a rolling restart, an outage of the table service and the loss of a data centre. */
final class DisruptionRound {
  private static final Duration WARM_UP = Duration.ofSeconds(15);
  private static final int OUTAGE_WINDOWS = 20;
  private static final int AFTER_WINDOWS = 10;
  private static final int CHANGES_DURING_OUTAGE = 150;
  private static final double NS_PER_MS = 1e6;

  private final BenchScale scale;
  private final Duration betweenRestarts;

  DisruptionRound(BenchScale scale, Duration betweenRestarts) {
    this.scale = scale;
    this.betweenRestarts = betweenRestarts;
  }

  DisruptionResult run() {
    try (BenchCluster cluster = new BenchCluster(scale)) {
      cluster.awaitConvergence();
      Pause.sleep(WARM_UP);
      PeakRateMeter restart = new PeakRateMeter(cluster);
      double settledMs = restartAll(cluster, restart);
      Pause.sleep(WARM_UP);
      PeakRateMeter storeReturn = new PeakRateMeter(cluster);
      double caughtUpMs = storeOutage(cluster, storeReturn);
      PeakRateMeter dataCentreLoss = new PeakRateMeter(cluster);
      double distrustedMs = cluster.measureFailureDetectionMs(scale.dataCentre(0));
      dataCentreLoss.sampleWindows(AFTER_WINDOWS);
      return new DisruptionResult(
          scale,
          cluster.snapshotBytes(),
          restart.peaks(),
          settledMs,
          storeReturn.peaks(),
          caughtUpMs,
          dataCentreLoss.peaks(),
          distrustedMs);
    }
  }

  private double restartAll(BenchCluster cluster, PeakRateMeter meter) {
    for (int i = 0; i < scale.entries(); i++) {
      cluster.replace(i);
      Pause.sleep(betweenRestarts);
      meter.sampleIfDue();
    }
    long startNs = System.nanoTime();
    cluster.awaitConvergence();
    return (System.nanoTime() - startNs) / NS_PER_MS;
  }

  private double storeOutage(BenchCluster cluster, PeakRateMeter meter) {
    cluster.setTablesDown(true);
    long revision = cluster.applyChanges(CHANGES_DURING_OUTAGE);
    meter.sampleWindows(OUTAGE_WINDOWS);
    cluster.setTablesDown(false);
    double ms = cluster.awaitRevisionMs(revision);
    meter.sampleWindows(AFTER_WINDOWS);
    return ms;
  }
}
