package org.guavagw.internal.cascade;

import java.util.Arrays;
import java.util.List;

/**
 * Finds the lowest price of quality at which a cascade meets its quality target. Immutable and
 * thread-safe.
 */
final class PriceSolver {
  private static final double LOWEST_LOG_PRICE = Math.log(1);
  private static final double HIGHEST_LOG_PRICE = Math.log(1e8);
  private static final double LOG_PRECISION = 0.01;

  private final List<StepModel> models;
  private final List<double[]> costSamples;
  private final double ratedShare;

  /** Creates a solver for requests with the given costs of each step. */
  PriceSolver(List<StepModel> models, List<double[]> costSamples, double ratedShare) {
    this.models = models;
    this.costSamples = costSamples;
    this.ratedShare = ratedShare;
  }

  QualityPrice solve(double target) {
    double low = LOWEST_LOG_PRICE;
    double high = HIGHEST_LOG_PRICE;
    double highest = quality(high);
    if (highest < target) {
      return new QualityPrice(Math.exp(high), Math.exp(high), 1, false);
    }
    double lowQuality = quality(low);
    if (lowQuality >= target) {
      return new QualityPrice(Math.exp(low), Math.exp(low), 1, true);
    }
    double highQuality = highest;
    while (high - low > LOG_PRECISION) {
      double middle = (low + high) / 2;
      double quality = quality(middle);
      if (quality >= target) {
        high = middle;
        highQuality = quality;
      } else {
        low = middle;
        lowQuality = quality;
      }
    }
    double share = (target - lowQuality) / (highQuality - lowQuality);
    return new QualityPrice(Math.exp(low), Math.exp(high), share, true);
  }

  private double quality(double logPrice) {
    boolean[] usable = new boolean[models.size()];
    Arrays.fill(usable, true);
    double sum = 0;
    for (double[] costs : costSamples) {
      CascadeTable table =
          CascadeTable.solve(models, costs, usable, ratedShare, Math.exp(logPrice));
      sum += table.node(table.start(), AnswerContext.FIRST).quality();
    }
    return sum / costSamples.size();
  }
}
