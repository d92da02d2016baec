package org.guavagw.cli.bench.policy;

/**
 * What an engine would answer to a request. Immutable.
 *
 * @param rating the true rating, known to the oracle and to the figures
 * @param signal the engine's own confidence
 * @param isRatedInTime whether the rating comes before the answer has to be sent
 * @param ratingDelaySeconds when the rating comes; infinite where it never does
 */
record FakeAnswer(
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
