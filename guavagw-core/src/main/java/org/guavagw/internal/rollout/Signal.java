package org.guavagw.internal.rollout;

/** What versions are compared by. */
public enum Signal {
  RATING,
  POOR_ANSWERS,
  ERRORS,
  LATENCY;

  /** The trials of this signal. */
  public Tally of(VersionEvidence evidence) {
    return switch (this) {
      case RATING -> evidence.ratings();
      case POOR_ANSWERS -> evidence.poor();
      case ERRORS -> evidence.errors();
      case LATENCY -> evidence.slow();
    };
  }
}
