package org.guavagw.internal.rollout;

/**
 * Likelihood ratios of rates with shifted log-odds against a null rate. Stateless and thread-safe.
 *
 * <p>Invariant: under the null hypothesis the expected value of each ratio is at most 1.
 */
final class LogOddsMixture {
  private static final double[] SHIFTS = {0.1, 0.25, 0.5, 1, 1.5, 2, 3, 4};
  private static final double LOG_NULL_WEIGHT = Math.log(0.5);
  private static final double LOG_SHIFT_WEIGHT = Math.log(0.5 / SHIFTS.length);

  private LogOddsMixture() {}

  static int shifts() {
    return SHIFTS.length;
  }

  /**
   * Returns the log-likelihood ratio of the mixture; direction is 1 for rates above the null rate
   * and -1 for rates below it.
   */
  static double logRatio(Tally tally, double nullRate, int direction) {
    double[] terms = new double[SHIFTS.length + 1];
    for (int i = 0; i < SHIFTS.length; i++) {
      terms[i] = LOG_SHIFT_WEIGHT + logRatioOfShift(tally, nullRate, direction, i);
    }
    terms[SHIFTS.length] = LOG_NULL_WEIGHT;
    return logSum(terms);
  }

  /** Returns the log-likelihood ratio of a single shift. */
  static double logRatioOfShift(Tally tally, double nullRate, int direction, int shift) {
    double odds = nullRate / (1 - nullRate) * Math.exp(direction * SHIFTS[shift]);
    double rate = odds / (1 + odds);
    double good = tally.trials() - tally.bad();
    return tally.bad() * Math.log(rate / nullRate) + good * Math.log((1 - rate) / (1 - nullRate));
  }

  /** Returns the logarithm of the sum of the exponentials of the terms. */
  static double logSum(double... terms) {
    double max = Double.NEGATIVE_INFINITY;
    for (double term : terms) {
      max = Math.max(max, term);
    }
    if (Double.isInfinite(max)) {
      return max;
    }
    double sum = 0;
    for (double term : terms) {
      sum += Math.exp(term - max);
    }
    return max + Math.log(sum);
  }

  /** Returns the logarithm of the mean of the exponentials of the terms. */
  static double logMean(double... terms) {
    return logSum(terms) - Math.log(terms.length);
  }
}
