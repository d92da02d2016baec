package org.guavagw.internal.cascade;

import java.time.Duration;
import java.util.List;

/** A plan with the answers so far in the order of their arrival, at least one. Immutable. */
public record CascadeProgress(
    CascadePlan plan,
    List<AnswerReport> answers,
    Duration remainingTime,
    long remainingBudgetMicros) {
  public CascadeProgress {
    answers = List.copyOf(answers);
  }
}
