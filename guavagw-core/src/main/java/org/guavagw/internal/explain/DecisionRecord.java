package org.guavagw.internal.explain;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * The decisions that led to the outcome of one request. Immutable.
 *
 * @param configRevision newest configuration revision that any of the decisions used
 * @param outcome stable code of the outcome: {@code "answered"} or the code of the refusal
 * @param billId id of the request's bill; empty if none was opened
 */
public record DecisionRecord(
    String requestId,
    Instant time,
    String team,
    String taskClass,
    long configRevision,
    List<Candidate> candidates,
    List<CascadeStepRecord> cascadeSteps,
    List<AttemptRecord> attempts,
    String outcome,
    Optional<String> billId) {
  public DecisionRecord {
    candidates = List.copyOf(candidates);
    cascadeSteps = List.copyOf(cascadeSteps);
    attempts = List.copyOf(attempts);
  }
}
