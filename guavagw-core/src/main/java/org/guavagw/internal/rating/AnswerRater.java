package org.guavagw.internal.rating;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.function.DoubleConsumer;
import org.guavagw.internal.cascade.RatingState;
import org.guavagw.platform.AnswerSample;

/** Rates answers while callers wait. Thread-safe. */
public interface AnswerRater {
  /** Rates an answer, or gives nothing if no rating comes in time. */
  OptionalDouble rate(AnswerSample sample, Duration patience);

  /** Rates an answer some time later and tells the listener; drops it if too many wait. */
  void rateLater(AnswerSample sample, DoubleConsumer listener);

  /** Whether ratings come in time these days. */
  RatingState state();
}
