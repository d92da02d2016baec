package org.guavagw.cli.bench.policy;

/**
 * Simulated answer of an engine to a request. Immutable.
 *
 * @param rating the true rating, known only to the oracle and the measurements
 * @param signal confidence reported by the engine
 * @param isRatedInTime whether the rating is available before the answer must be sent
 * @param ratingDelaySeconds delay of the rating; infinite if it is never available
 */
record SimulatedAnswer(
    boolean failed,
    double rating,
    double signal,
    boolean isRatedInTime,
    double ratingDelaySeconds,
    double latencySeconds,
    long costMicros) {
  private static final double POOR_RATING = 0.5;

  boolean isBad() {
    return failed || rating < POOR_RATING;
  }

  boolean isEverRated() {
    return !Double.isInfinite(ratingDelaySeconds);
  }
}
