package org.guavagw.internal.dispatch;

import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.pipeline.CompletedAnswer;

/** The result of one attempt. Immutable. */
sealed interface AttemptResult {
  /** The complete answer reached the sink. */
  record Completed(CompletedAnswer answer) implements AttemptResult {}

  /**
   * The answer is missing or incomplete.
   *
   * @param answerStarted whether part of the answer was passed on to the caller
   */
  record Failed(EngineFailure failure, boolean answerStarted) implements AttemptResult {}
}
