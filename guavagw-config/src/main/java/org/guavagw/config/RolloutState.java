package org.guavagw.config;

/** State of a rollout. */
public enum RolloutState {
  RUNNING,
  HELD,
  ABORTED,
  DONE
}
