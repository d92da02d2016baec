package org.guavagw.internal.cascade;

/**
 * Context of an answer: the first of its request, or following an answer in a given quality band.
 * Immutable.
 */
record AnswerContext(int index) {
  /** Context of the first answer to a request. */
  static final AnswerContext FIRST = new AnswerContext(0);

  /** Number of different contexts. */
  static final int COUNT = 1 + RatingBins.BANDS;

  /** Returns the context of an answer that follows one of the given quality. */
  static AnswerContext after(double previousQuality) {
    return new AnswerContext(1 + RatingBins.band(previousQuality));
  }
}
