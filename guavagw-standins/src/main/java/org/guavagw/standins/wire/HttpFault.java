package org.guavagw.standins.wire;

/** What goes wrong with one HTTP call to the platform. */
public enum HttpFault {
  /** Refused without effect, with status 400. */
  REFUSE,
  /** No effect and no reply; the connection stays open. */
  SILENCE_BEFORE_EFFECT,
  /** Takes effect; no reply, and the connection stays open. */
  SILENCE_AFTER_EFFECT,
  /** No effect; the connection is reset. */
  RESET_BEFORE_EFFECT,
  /** Takes effect; the connection is reset before the reply. */
  RESET_AFTER_EFFECT,
  /** Takes effect; status 500 and no word on that. */
  FAIL_AFTER_EFFECT,
  /** Takes effect; a reply that breaks off in the middle. */
  GARBAGE_AFTER_EFFECT;

  boolean beforeEffect() {
    return this == REFUSE || this == SILENCE_BEFORE_EFFECT || this == RESET_BEFORE_EFFECT;
  }
}
