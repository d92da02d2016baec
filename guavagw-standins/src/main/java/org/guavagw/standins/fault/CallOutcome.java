package org.guavagw.standins.fault;

/** What becomes of one call to the platform. */
public enum CallOutcome {
  /** It takes effect and the answer arrives. */
  ANSWERED,
  /** It is refused without effect; the caller learns so. */
  REFUSED,
  /** The request is lost: no effect, and the caller cannot tell. */
  REQUEST_LOST,
  /** The answer is lost after the effect; the caller cannot tell. */
  ANSWER_LOST
}
