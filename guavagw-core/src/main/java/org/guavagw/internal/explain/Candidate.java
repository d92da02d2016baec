package org.guavagw.internal.explain;

import java.util.Optional;

/**
 * A model, version or backend server that was considered for a request. Immutable.
 *
 * @param excludedBy the rule that excluded it; empty if it was chosen
 */
public record Candidate(CandidateKind kind, String id, Optional<ExclusionRule> excludedBy) {
  /** Returns a candidate that was chosen. */
  public static Candidate chosen(CandidateKind kind, String id) {
    return new Candidate(kind, id, Optional.empty());
  }

  /** Returns a candidate that a rule excluded. */
  public static Candidate excluded(CandidateKind kind, String id, ExclusionRule rule) {
    return new Candidate(kind, id, Optional.of(rule));
  }
}
