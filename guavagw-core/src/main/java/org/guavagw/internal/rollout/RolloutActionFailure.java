package org.guavagw.internal.rollout;

/** Reason why a rollout action was not carried out. Immutable. */
public sealed interface RolloutActionFailure {
  /** The configuration has moved to another revision; decide again on that one. */
  record RevisionMoved(long revision) implements RolloutActionFailure {}

  /** Another controller with a higher fencing number has taken over. */
  record Fenced(long fencingNumber) implements RolloutActionFailure {}

  /** The store did not accept the action. */
  record StoreUnavailable(String reason) implements RolloutActionFailure {}

  /** The action may have taken effect; read the configuration before acting again. */
  record OutcomeUnknown(String reason) implements RolloutActionFailure {}
}
