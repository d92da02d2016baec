package org.guavagw.cli.bench.load;

import java.util.Arrays;

/** Max-min fair shares and Jain's fairness index. Stateless. */
final class FairShares {
  private FairShares() {}

  /** Returns the max-min fair shares of a capacity for the given demands. */
  static double[] maxMin(double[] demands, double capacity) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double left = capacity;
    double level = Double.POSITIVE_INFINITY;
    for (int i = 0; i < sorted.length; i++) {
      double equal = left / (sorted.length - i);
      if (sorted[i] > equal) {
        level = equal;
        break;
      }
      left -= sorted[i];
    }
    double bound = level;
    return Arrays.stream(demands).map(d -> Math.min(d, bound)).toArray();
  }

  /** Returns Jain's index of the ratios of received to fair shares; 1 is perfectly fair. */
  static double jain(double[] received, double[] fair) {
    double sum = 0;
    double squares = 0;
    for (int i = 0; i < received.length; i++) {
      double part = fair[i] == 0 ? 1 : received[i] / fair[i];
      sum += part;
      squares += part * part;
    }
    return squares == 0 ? 0 : sum * sum / (received.length * squares);
  }
}
