package org.guavagw.internal.cascade;

/** Whether the rating service responds fast enough to rate an answer before it is sent. */
public enum RatingState {
  AVAILABLE,
  UNAVAILABLE
}
