package org.guavagw.internal.rollout;

/**
 * Detects a rise of the bad rate of a stream of trials, with a CUSUM of log-likelihood ratios.
 *
 * <p>The cumulative sums restart at zero whenever they fall below it; the mean over a set of
 * log-odds shifts is compared with the alarm level. Invariant: while the rate stays within the
 * margin of the reference, the mean number of batches between alarms is at least the alarm
 * interval. Not thread-safe.
 */
final class ChangeDetector {
  private static final double MIN_RATE = 1e-3;
  private static final double MAX_RATE = 0.99;
  private static final double REFERENCE_Z = 3;
  private static final double MIN_REFERENCE_TRIALS = 200;

  private final double margin;
  private final double alarmLevel;
  private final double[] sums = new double[LogOddsMixture.shifts()];

  ChangeDetector(double margin, double alarmInterval) {
    this.margin = margin;
    this.alarmLevel = Math.log(alarmInterval);
  }

  /** Adds a batch; ignored while the reference has too few trials to estimate the normal rate. */
  void add(Tally batch, Tally reference) {
    if (batch.trials() <= 0 || reference.trials() < MIN_REFERENCE_TRIALS) {
      return;
    }
    double nullRate = nullRateOf(reference);
    for (int i = 0; i < sums.length; i++) {
      double ratio = LogOddsMixture.logRatioOfShift(batch, nullRate, 1, i);
      sums[i] = Math.max(0, sums[i]) + ratio;
    }
  }

  double logEvidence() {
    return LogOddsMixture.logMean(sums);
  }

  boolean isAlarmed() {
    return logEvidence() >= alarmLevel;
  }

  private double nullRateOf(Tally reference) {
    double rate = reference.rate(0);
    double error = Math.sqrt((rate * (1 - rate) + 1 / reference.trials()) / reference.trials());
    return Math.max(MIN_RATE, Math.min(MAX_RATE, rate + margin + REFERENCE_Z * error));
  }
}
