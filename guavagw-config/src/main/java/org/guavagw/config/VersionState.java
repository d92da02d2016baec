package org.guavagw.config;

/** Whether a version of a model takes work. */
public enum VersionState {
  /** Known, but takes traffic only through a rollout. */
  STAGED,
  /** Takes all traffic that no rollout sends elsewhere. */
  SERVING,
  /** Takes no new work. */
  WITHDRAWN
}
