package org.guavagw.config;

/** Where a rollout stands. */
public enum RolloutState {
  RUNNING,
  HELD,
  ABORTED,
  DONE
}
