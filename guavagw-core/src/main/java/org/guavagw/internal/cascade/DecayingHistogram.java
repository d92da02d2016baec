package org.guavagw.internal.cascade;

/** Histogram of ratings in which the weight of older ratings decays. Not thread-safe. */
final class DecayingHistogram {
  private static final double DECAY = 1 - 1.0 / 2_000;

  private final double[] weights = new double[RatingBins.BINS];
  private double total;

  void add(double rating) {
    for (int i = 0; i < weights.length; i++) {
      weights[i] *= DECAY;
    }
    total = total * DECAY + 1;
    weights[RatingBins.bin(rating)]++;
  }

  double total() {
    return total;
  }

  double[] weights() {
    return weights.clone();
  }

  /**
   * Returns the shares of the bins, with a prior that weighs as much as the given number of
   * ratings.
   */
  static double[] shares(double[] weights, double[] prior, double priorStrength) {
    double total = priorStrength;
    for (double w : weights) {
      total += w;
    }
    double[] shares = new double[weights.length];
    for (int i = 0; i < shares.length; i++) {
      shares[i] = (weights[i] + priorStrength * prior[i]) / total;
    }
    return shares;
  }
}
