package org.guavagw.cli.bench.control;

import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * How a figure grows with the number of entries. Immutable.
 *
 * @param exponent slope of the logarithms: 0 is constant, 1 linear
 */
record SlopeFit(
    String name,
    double intercept,
    double slope,
    double slopeError,
    double exponent,
    double exponentError,
    double atFullSize) {
  private static final int FULL_SIZE_ENTRIES = 350;

  static SlopeFit of(String name, List<SizeResult> results) {
    SimpleRegression linear = new SimpleRegression();
    SimpleRegression logarithmic = new SimpleRegression();
    for (SizeResult result : results) {
      double entries = result.scale().entries();
      double value = result.perEntry().getOrDefault(name, 0.0);
      linear.addData(entries, value);
      logarithmic.addData(Math.log(entries), Math.log(Math.max(value, 1e-9)));
    }
    return new SlopeFit(
        name,
        linear.getIntercept(),
        linear.getSlope(),
        linear.getSlopeStdErr(),
        logarithmic.getSlope(),
        logarithmic.getSlopeStdErr(),
        linear.predict(FULL_SIZE_ENTRIES));
  }
}
