package org.guavagw.internal.cascade;

/**
 * Relation between an engine's own confidence and the ratings of its answers. Immutable; the arrays
 * are not changed.
 *
 * @param shares shares of the bins of the confidence; they sum to 0 if the engine reports none or
 *     too few of these answers were rated
 * @param means mean rating by bin of the confidence; NaN where there are too few ratings
 */
record EngineSignalModel(double[] shares, double[] means) {
  private static final double MIN_WEIGHT = 20;

  static EngineSignalModel of(double[] weights, double[] ratingSums) {
    double total = 0;
    for (double w : weights) {
      total += w >= MIN_WEIGHT ? w : 0;
    }
    double[] shares = new double[weights.length];
    double[] means = new double[weights.length];
    for (int i = 0; i < weights.length; i++) {
      boolean known = weights[i] >= MIN_WEIGHT;
      shares[i] = known ? weights[i] / total : 0;
      means[i] = known ? ratingSums[i] / weights[i] : Double.NaN;
    }
    return new EngineSignalModel(shares, means);
  }

  double expected(double signal, double fallback) {
    double mean = means[RatingBins.bin(signal)];
    return Double.isNaN(mean) ? fallback : mean;
  }

  boolean isKnown() {
    for (double share : shares) {
      if (share > 0) {
        return true;
      }
    }
    return false;
  }
}
