package org.guavagw.internal.rollout;

import org.apache.commons.math3.optim.MaxEval;
import org.apache.commons.math3.optim.nonlinear.scalar.GoalType;
import org.apache.commons.math3.optim.univariate.BrentOptimizer;
import org.apache.commons.math3.optim.univariate.SearchInterval;
import org.apache.commons.math3.optim.univariate.UnivariateObjectiveFunction;

/**
 * Mixture likelihood-ratio test of two bad rates.
 *
 * <p>For each possible rate p of the second version, the product of two independent e-processes is
 * evidence against "the first rate is at most p plus the margin" and "the second rate is at least
 * p". The result is the minimum of the product over p. Each process mixes fixed shifts of the
 * log-odds with the null hypothesis, so it never falls below the weight of the null hypothesis.
 * Trials may have any value from 0 to 1 because the likelihood ratio is convex in the value.
 * Stateless and thread-safe.
 */
public final class MixtureRatioTest implements SequentialTest {
  private static final double MIN_RATE = 1e-4;
  private static final double RELATIVE_PRECISION = 1e-4;
  private static final double ABSOLUTE_PRECISION = 1e-6;
  private static final int MAX_EVALUATIONS = 60;

  @Override
  public double logEvidence(Tally first, Tally second, double margin) {
    double low = clamp(second.rate(0));
    double high = clamp(first.rate(1) - margin);
    if (high <= low) {
      return logProduct(first, second, margin, low);
    }
    BrentOptimizer optimizer = new BrentOptimizer(RELATIVE_PRECISION, ABSOLUTE_PRECISION);
    return optimizer
        .optimize(
            new UnivariateObjectiveFunction(p -> logProduct(first, second, margin, p)),
            GoalType.MINIMIZE,
            new SearchInterval(low, high),
            new MaxEval(MAX_EVALUATIONS))
        .getValue();
  }

  private static double logProduct(Tally first, Tally second, double margin, double rate) {
    return LogOddsMixture.logRatio(first, clamp(rate + margin), 1)
        + LogOddsMixture.logRatio(second, clamp(rate), -1);
  }

  private static double clamp(double rate) {
    return Math.max(MIN_RATE, Math.min(1 - MIN_RATE, rate));
  }
}
