package org.guavagw.standins.wire;

/** A fault to inject into one HTTP call to the platform. */
public enum HttpFault {
  /** The call is refused without effect, with status 400. */
  REFUSE,
  /** The call has no effect and gets no response; the connection stays open. */
  SILENCE_BEFORE_EFFECT,
  /** The call takes effect but gets no response; the connection stays open. */
  SILENCE_AFTER_EFFECT,
  /** The call has no effect; the connection is reset. */
  RESET_BEFORE_EFFECT,
  /** The call takes effect; the connection is reset before the response. */
  RESET_AFTER_EFFECT,
  /** The call takes effect and is answered with status 500. */
  FAIL_AFTER_EFFECT,
  /** The call takes effect; the response is truncated. */
  GARBAGE_AFTER_EFFECT;

  boolean beforeEffect() {
    return this == REFUSE || this == SILENCE_BEFORE_EFFECT || this == RESET_BEFORE_EFFECT;
  }
}
