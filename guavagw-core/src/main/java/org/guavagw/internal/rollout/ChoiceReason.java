package org.guavagw.internal.rollout;

/** Why a version was chosen. */
public enum ChoiceReason {
  /** The session is already pinned to this version. */
  PINNED,
  /** The version that the session was pinned to is withdrawn or not allowed. */
  MOVED_BECAUSE_WITHDRAWN,
  /** A rollout sends the session to its new version. */
  ROLLOUT_NEW,
  /** A rollout leaves the session on its old version. */
  ROLLOUT_OLD,
  /** The newest serving version; no rollout applies. */
  SERVING
}
