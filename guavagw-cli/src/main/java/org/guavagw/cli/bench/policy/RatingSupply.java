package org.guavagw.cli.bench.policy;

/**
 * How ratings come in. Immutable.
 *
 * @param inTimeShare part of the answers that are rated before they are sent
 * @param lateShare part that is rated after a delay
 * @param outageFromSeconds start of an outage in which no rating comes in time or late
 */
record RatingSupply(
    double inTimeShare,
    double lateShare,
    double meanDelaySeconds,
    double outageFromSeconds,
    double outageToSeconds) {
  static final RatingSupply STEADY = new RatingSupply(0.8, 0.15, 30, 0, 0);
  static final RatingSupply SAMPLED = new RatingSupply(0, 0.5, 20, 0, 0);

  boolean isOut(double atSeconds) {
    return atSeconds >= outageFromSeconds && atSeconds < outageToSeconds;
  }
}
