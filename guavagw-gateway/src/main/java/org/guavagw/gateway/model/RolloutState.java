package org.guavagw.gateway.model;

/** How far a rollout is. */
public enum RolloutState {
  /** Both versions may serve. */
  RUNNING,
  /** The new version has taken over; the old backend servers stop at once. */
  DONE,
  /** The new version turned out bad and gets no further requests. */
  ROLLED_BACK
}
