package org.guavagw.cli.bench.policy;

/**
 * Availability and delay of ratings. Immutable.
 *
 * @param inTimeShare share of answers that are rated before they are sent
 * @param lateShare share of answers that are rated after a delay
 * @param outageFromSeconds start of an outage; requests during it are never rated
 */
record RatingAvailability(
    double inTimeShare,
    double lateShare,
    double meanDelaySeconds,
    double outageFromSeconds,
    double outageToSeconds) {
  static final RatingAvailability STEADY = new RatingAvailability(0.8, 0.15, 30, 0, 0);
  static final RatingAvailability SAMPLED = new RatingAvailability(0, 0.5, 20, 0, 0);

  boolean isOutage(double atSeconds) {
    return atSeconds >= outageFromSeconds && atSeconds < outageToSeconds;
  }
}
