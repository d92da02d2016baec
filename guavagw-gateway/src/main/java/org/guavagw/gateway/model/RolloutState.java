package org.guavagw.gateway.model;

/** The state of a rollout. */
public enum RolloutState {
  /** Both versions may receive requests. */
  RUNNING,
  /** The new version receives all requests; the old backend servers stop at once. */
  DONE,
  /** The new version failed and receives no further requests. */
  ROLLED_BACK
}
