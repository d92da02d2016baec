package org.guavagw.internal.explain;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Why one request was answered as it was. Immutable.
 *
 * @param configRevision newest revision of the configuration that a decision used
 * @param outcome stable code of the final outcome, {@code "answered"} or that of the refusal
 * @param billId id of the request's bill, or nothing if none was opened
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
