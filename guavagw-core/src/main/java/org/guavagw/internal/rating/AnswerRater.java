package org.guavagw.internal.rating;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.function.DoubleConsumer;
import org.guavagw.internal.cascade.RatingState;
import org.guavagw.platform.AnswerSample;

/** Rates answers of backend servers. Thread-safe. */
public interface AnswerRater {
  /**
   * Rates an answer while its caller waits; returns empty if no rating arrives within the timeout.
   */
  OptionalDouble rate(AnswerSample sample, Duration timeout);

  /**
   * Rates an answer asynchronously and passes the rating to the listener; drops the answer if too
   * many are queued.
   */
  void rateLater(AnswerSample sample, DoubleConsumer listener);

  /** Returns whether ratings currently arrive in time. */
  RatingState state();
}
