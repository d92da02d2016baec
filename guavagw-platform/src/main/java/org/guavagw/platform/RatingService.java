package org.guavagw.platform;

import io.vavr.control.Either;

/** The platform's service that rates answers. Implementations are thread-safe; calls block. */
public interface RatingService {
  /** Rates an answer from 0 (useless) to 1 (perfect). */
  Either<PlatformFailure, Double> rate(AnswerSample sample);
}
