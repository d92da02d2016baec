package org.guavagw.cli.bench.control;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Fit of a measured value over the number of entries. Immutable.
 *
 * @param exponent slope of the log-log fit: 0 means constant, 1 means linear growth
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
  private static final int MIN_ROUNDS_TO_FIT = 3;

  /** Fits every measured value; returns an empty list if there are too few rounds. */
  static List<SlopeFit> all(List<ScalingResult> results) {
    if (results.size() < MIN_ROUNDS_TO_FIT) {
      return List.of();
    }
    Set<String> names = new TreeSet<>();
    results.forEach(r -> names.addAll(r.perEntry().keySet()));
    return names.stream().map(n -> of(n, results)).toList();
  }

  private static SlopeFit of(String name, List<ScalingResult> results) {
    SimpleRegression linear = new SimpleRegression();
    SimpleRegression logarithmic = new SimpleRegression();
    for (ScalingResult result : results) {
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
