package org.guavagw.internal.explain;

import java.util.Optional;

/**
 * A model, version or backend server that was weighed for a request. Immutable.
 *
 * @param excludedBy the rule that ruled it out, or nothing if it was chosen
 */
public record Candidate(CandidateKind kind, String id, Optional<ExclusionRule> excludedBy) {
  /** A candidate that was chosen. */
  public static Candidate chosen(CandidateKind kind, String id) {
    return new Candidate(kind, id, Optional.empty());
  }

  /** A candidate that a rule ruled out. */
  public static Candidate excluded(CandidateKind kind, String id, ExclusionRule rule) {
    return new Candidate(kind, id, Optional.of(rule));
  }
}
