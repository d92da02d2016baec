package org.guavagw.cli.bench.load;

import java.util.Arrays;

/** Max-min fair shares and how close an allocation is to them. Stateless. */
final class FairShares {
  private FairShares() {}

  /** Divides a capacity so that no demand is exceeded and no smaller share could be raised. */
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

  /** Jain's index of received over fair shares: 1 where all are equally well off. */
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
