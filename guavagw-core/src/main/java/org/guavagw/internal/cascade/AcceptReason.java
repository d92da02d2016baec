package org.guavagw.internal.cascade;

/** What an accepted answer was judged by. */
public enum AcceptReason {
  /** Its rating. */
  RATING,
  /** The engine's own signal, because no rating came. */
  ENGINE_SIGNAL,
  /** What was learnt of the version before, because neither rating nor signal came. */
  LEARNT_QUALITY
}
