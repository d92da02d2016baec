package org.guavagw.standins.fault;

/** Outcome of one call to the platform. */
public enum CallOutcome {
  /** The call takes effect and its answer arrives. */
  ANSWERED,
  /** The call is refused without effect, and the client knows it. */
  REFUSED,
  /** The request is lost: the call has no effect, but the client cannot know. */
  REQUEST_LOST,
  /** The answer is lost: the call takes effect, but the client cannot know. */
  ANSWER_LOST
}
