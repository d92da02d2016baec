package org.guavagw.internal.engine;

/** Token counts of an answer. Immutable. */
public record TokenUsage(long inputTokens, long outputTokens) {
  /** Used if no count was reported. */
  public static final TokenUsage UNKNOWN = new TokenUsage(-1, -1);

  /** Returns whether the backend server reported a count. */
  public boolean isKnown() {
    return inputTokens >= 0;
  }
}
