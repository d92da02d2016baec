package org.guavagw.internal.cascade;

/**
 * Price of a unit of rating at which the mean rating meets a target at the lowest cost. Immutable.
 *
 * <p>If no single price meets the target exactly, a share of the requests is decided at the higher
 * of two prices.
 *
 * @param low price at which the mean rating is below the target
 * @param high price at which it meets the target
 * @param shareHigh share of requests that are decided at the high price
 * @param isReachable whether any price meets the target
 */
record QualityPrice(double low, double high, double shareHigh, boolean isReachable) {
  /** Returns the price for a request with this uniform number. */
  double at(double draw) {
    return isHigh(draw) ? high : low;
  }

  /** Returns whether a request with this uniform number is decided at the high price. */
  boolean isHigh(double draw) {
    return draw < shareHigh;
  }
}
