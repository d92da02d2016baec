package org.guavagw.gateway.internal.admission;

import java.util.Arrays;

/** Divides a capacity so that the smallest shares are as large as possible. Stateless. */
final class MaxMinShares {
  private MaxMinShares() {}

  /** Returns the largest share that any party gets; infinite if all demands fit. */
  static double level(double[] demands, double capacity) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double left = Math.max(0, capacity);
    int parties = sorted.length;
    for (double demand : sorted) {
      if (demand * parties > left) {
        return left / parties;
      }
      left -= demand;
      parties--;
    }
    return Double.POSITIVE_INFINITY;
  }

  /**
   * Returns the share of one more party that wants all that it can get, beside others with given
   * demands.
   */
  static double ofUnbounded(double[] otherDemands, double capacity) {
    double[] all = Arrays.copyOf(otherDemands, otherDemands.length + 1);
    all[otherDemands.length] = Double.POSITIVE_INFINITY;
    return level(all, capacity);
  }
}
