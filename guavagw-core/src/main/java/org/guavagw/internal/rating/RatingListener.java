package org.guavagw.internal.rating;

import org.guavagw.platform.AnswerSample;

/** Hears of ratings that came later. Implementations are thread-safe. */
public interface RatingListener {
  /** An answer was rated. */
  void rated(AnswerSample sample, double rating);
}
