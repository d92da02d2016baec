package org.guavagw.cli.bench.policy;

import com.google.common.base.Ticker;
import java.util.List;
import java.util.stream.IntStream;
import org.guavagw.internal.rollout.EvidenceCollector;
import org.guavagw.internal.rollout.MixtureRatioTest;
import org.guavagw.internal.rollout.MonitorSettings;
import org.guavagw.internal.rollout.RolloutController;
import org.guavagw.internal.rollout.RolloutMonitor;
import org.guavagw.internal.rollout.VersionOutcome;

/** The production rollout controller with reports of several entries. Not thread-safe. */
final class SequentialPolicy implements RolloutPolicy {
  static final int ENTRIES = 8;

  private static final int MAX_ROWS = 64;
  private static final double NANOS_PER_SECOND = 1e9;

  private final List<EvidenceCollector> entries =
      IntStream.range(0, ENTRIES).mapToObj(i -> new EvidenceCollector("entry-" + i)).toList();
  private final VirtualTicker ticker = new VirtualTicker();
  private final RolloutMonitor monitor =
      new RolloutMonitor(ticker, new MixtureRatioTest(), MonitorSettings.standard());
  private final RolloutController controller;

  SequentialPolicy(SimulatedControlPlane controlPlane) {
    controller =
        new RolloutController(controlPlane.holder(), controlPlane, monitor, controlPlane, ticker);
  }

  @Override
  public void observe(int entry, VersionOutcome outcome) {
    entries.get(entry).observe(outcome);
  }

  @Override
  public void evaluate(double nowSeconds) {
    ticker.nanos = (long) (nowSeconds * NANOS_PER_SECOND);
    entries.forEach(e -> monitor.addReport(e.takeReport(MAX_ROWS)));
    controller.runOnce();
  }

  /** Virtual time of the simulation. Not thread-safe. */
  private static final class VirtualTicker extends Ticker {
    private long nanos;

    @Override
    public long read() {
      return nanos;
    }
  }
}
