package org.guavagw.internal.dispatch;

import org.guavagw.internal.engine.EngineFailure;
import org.guavagw.internal.pipeline.Answered;

/** What came of one attempt at a backend server. Immutable. */
sealed interface AttemptResult {
  /** The whole answer reached the sink. */
  record Whole(Answered answered) implements AttemptResult {}

  /**
   * The answer is not whole.
   *
   * @param begun whether the caller has seen a part of it
   */
  record Failed(EngineFailure failure, boolean begun) implements AttemptResult {}
}
