package org.guavagw.config;

/** Whether a version of a model takes requests. */
public enum VersionState {
  /** Takes traffic only through a rollout. */
  STAGED,
  /** Takes all traffic that no rollout moves to another version. */
  SERVING,
  /** Takes no new requests. */
  WITHDRAWN
}
