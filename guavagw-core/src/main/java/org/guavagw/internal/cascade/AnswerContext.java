package org.guavagw.internal.cascade;

/**
 * What was known of the request before the answer: nothing, or how the previous answer was rated.
 * Immutable.
 */
record AnswerContext(int index) {
  /** The answer was the first one. */
  static final AnswerContext FIRST = new AnswerContext(0);

  /** Number of contexts. */
  static final int COUNT = 1 + RatingBins.BANDS;

  /** The answer came after one of the given quality. */
  static AnswerContext after(double previousQuality) {
    return new AnswerContext(1 + RatingBins.band(previousQuality));
  }
}
