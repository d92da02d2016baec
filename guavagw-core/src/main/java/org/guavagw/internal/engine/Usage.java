package org.guavagw.internal.engine;

/** Tokens that an answer took. Immutable. */
public record Usage(long inputTokens, long outputTokens) {
  /** Used where no count has been reported. */
  public static final Usage NONE = new Usage(-1, -1);

  /** Whether the backend server reported a count. */
  public boolean isKnown() {
    return inputTokens >= 0;
  }
}
