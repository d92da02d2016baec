package org.guavagw.internal.cascade;

import java.util.Arrays;
import java.util.OptionalDouble;

/**
 * Estimated distribution of the ratings of one version on one task class. Immutable; the arrays are
 * not changed.
 *
 * @param shares shares of the rating bins by context
 * @param means mean rating by context
 * @param firstRatings decayed number of ratings of first answers
 * @param signals relation between the engine's confidence and the rating
 */
record StepModel(
    double[][] shares, double[] means, double firstRatings, EngineSignalModel signals) {
  private static final double CONTEXT_STRENGTH = 10;
  private static final double POOLED_STRENGTH = 5;
  private static final double UNKNOWN_STRENGTH = 2;
  private static final double PRIOR_CONCENTRATION = 4;

  /**
   * Creates a model from histograms by context; the prior mean is used where ratings are missing.
   */
  static StepModel of(DecayingHistogram[] byContext, double priorMean, EngineSignalModel signals) {
    double[] first =
        DecayingHistogram.shares(byContext[0].weights(), priorShares(priorMean), UNKNOWN_STRENGTH);
    double[] pooled = new double[RatingBins.BINS];
    for (int c = 1; c < byContext.length; c++) {
      double[] weights = byContext[c].weights();
      for (int i = 0; i < pooled.length; i++) {
        pooled[i] += weights[i];
      }
    }
    double[] later = DecayingHistogram.shares(pooled, first, POOLED_STRENGTH);
    double[][] shares = new double[byContext.length][];
    shares[0] = first;
    for (int c = 1; c < byContext.length; c++) {
      shares[c] = DecayingHistogram.shares(byContext[c].weights(), later, CONTEXT_STRENGTH);
    }
    double[] means = Arrays.stream(shares).mapToDouble(StepModel::mean).toArray();
    return new StepModel(shares, means, byContext[0].total(), signals);
  }

  /** Returns the expected rating of an answer without a rating. */
  double expected(AnswerContext context, OptionalDouble engineSignal) {
    double mean = means[context.index()];
    return engineSignal.isEmpty() ? mean : signals.expected(engineSignal.getAsDouble(), mean);
  }

  private static double[] priorShares(double mean) {
    double[] shares = new double[RatingBins.BINS];
    double total = 0;
    for (int i = 0; i < shares.length; i++) {
      double x = RatingBins.middle(i);
      double good = PRIOR_CONCENTRATION * mean - 1;
      double bad = PRIOR_CONCENTRATION * (1 - mean) - 1;
      shares[i] = Math.pow(x, good) * Math.pow(1 - x, bad);
      total += shares[i];
    }
    for (int i = 0; i < shares.length; i++) {
      shares[i] /= total;
    }
    return shares;
  }

  private static double mean(double[] shares) {
    double sum = 0;
    for (int i = 0; i < shares.length; i++) {
      sum += shares[i] * RatingBins.middle(i);
    }
    return sum;
  }
}
