package org.guavagw.internal.cascade;

/** Basis on which an answer was judged. */
public enum AcceptReason {
  /** The rating of the answer. */
  RATING,
  /** The engine's own confidence, because there was no rating. */
  ENGINE_SIGNAL,
  /**
   * The expected rating learnt from earlier answers of the version, because there was neither a
   * rating nor a confidence.
   */
  LEARNT_QUALITY
}
