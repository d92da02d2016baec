package org.guavagw.internal.cascade;

/**
 * What a unit of rating is worth so that the mean rating meets a target at least cost. Immutable.
 *
 * <p>Where no single price meets the target exactly, a share of the requests is decided at the
 * higher of two prices.
 *
 * @param low price at which the mean rating stays below the target
 * @param high price at which it does not
 * @param shareHigh share of requests that are decided at the high price
 * @param isReachable whether any price meets the target
 */
record QualityPrice(double low, double high, double shareHigh, boolean isReachable) {
  /** The price for a request with this uniform number. */
  double at(double draw) {
    return isHigh(draw) ? high : low;
  }

  /** Whether a request with this uniform number is decided at the high price. */
  boolean isHigh(double draw) {
    return draw < shareHigh;
  }
}
