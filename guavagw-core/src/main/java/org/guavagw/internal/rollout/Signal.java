package org.guavagw.internal.rollout;

/** Quality signals by which versions are compared. */
public enum Signal {
  RATING,
  POOR_ANSWERS,
  ERRORS,
  LATENCY;

  /** Returns the trials of this signal. */
  public Tally tallyOf(VersionEvidence evidence) {
    return switch (this) {
      case RATING -> evidence.ratings();
      case POOR_ANSWERS -> evidence.poor();
      case ERRORS -> evidence.errors();
      case LATENCY -> evidence.slow();
    };
  }
}
