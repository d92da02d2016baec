package org.guavagw.internal.rollout;

/** Why a version was chosen. */
public enum ChoiceReason {
  /** The session is on this version already. */
  PINNED,
  /** The session's version is withdrawn. */
  MOVED_BECAUSE_WITHDRAWN,
  /** A rollout sends the session to its new version. */
  ROLLOUT_NEW,
  /** A rollout leaves the session on its old version. */
  ROLLOUT_OLD,
  /** The newest version in service, without a rollout. */
  SERVING
}
