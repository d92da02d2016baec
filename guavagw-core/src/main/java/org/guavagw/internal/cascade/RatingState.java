package org.guavagw.internal.cascade;

/** Whether the rating service answers in time to be asked about an answer before it is sent. */
public enum RatingState {
  AVAILABLE,
  UNAVAILABLE
}
