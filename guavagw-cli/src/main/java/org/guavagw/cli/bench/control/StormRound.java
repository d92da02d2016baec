package org.guavagw.cli.bench.control;

import java.time.Duration;

/** Replaces every entry, takes the table service away for a while, and stops a data centre. */
final class StormRound {
  private static final Duration WARM_UP = Duration.ofSeconds(15);
  private static final int OUTAGE_WINDOWS = 20;
  private static final int AFTER_WINDOWS = 10;
  private static final int CHANGES_DURING_OUTAGE = 150;
  private static final double NS_PER_MS = 1e6;

  private final BenchScale scale;
  private final Duration betweenRestarts;

  StormRound(BenchScale scale, Duration betweenRestarts) {
    this.scale = scale;
    this.betweenRestarts = betweenRestarts;
  }

  StormResult run() {
    try (BenchCluster cluster = new BenchCluster(scale)) {
      cluster.settle();
      Pauses.pause(WARM_UP);
      PeakMeter restart = new PeakMeter(cluster);
      double settledMs = restartAll(cluster, restart);
      Pauses.pause(WARM_UP);
      PeakMeter storeReturn = new PeakMeter(cluster);
      double caughtUpMs = storeOutage(cluster, storeReturn);
      PeakMeter lost = new PeakMeter(cluster);
      double distrustedMs = cluster.loseMs(scale.dataCentre(0));
      lost.watch(AFTER_WINDOWS);
      return new StormResult(
          scale,
          cluster.snapshotBytes(),
          restart.peaks(),
          settledMs,
          storeReturn.peaks(),
          caughtUpMs,
          lost.peaks(),
          distrustedMs);
    }
  }

  private double restartAll(BenchCluster cluster, PeakMeter meter) {
    for (int i = 0; i < scale.entries(); i++) {
      cluster.replace(i);
      Pauses.pause(betweenRestarts);
      meter.tickIfDue();
    }
    long startNs = System.nanoTime();
    cluster.settle();
    return (System.nanoTime() - startNs) / NS_PER_MS;
  }

  private double storeOutage(BenchCluster cluster, PeakMeter meter) {
    cluster.setTablesDown(true);
    long revision = cluster.acceptChanges(CHANGES_DURING_OUTAGE);
    meter.watch(OUTAGE_WINDOWS);
    cluster.setTablesDown(false);
    double ms = cluster.awaitRevisionMs(revision);
    meter.watch(AFTER_WINDOWS);
    return ms;
  }
}
