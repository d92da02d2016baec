package org.guavagw.internal.rollout;

/** Why an act was not carried out. Immutable. */
public sealed interface ActFailure {
  /** Another change came first; decide again on the newer revision. */
  record RevisionMoved(long revision) implements ActFailure {}

  /** Another controller has taken over. */
  record Fenced(long fencingNumber) implements ActFailure {}

  /** The store did not take the act. */
  record StoreUnavailable(String reason) implements ActFailure {}

  /** The act may have taken effect; read the configuration before acting again. */
  record OutcomeUnknown(String reason) implements ActFailure {}
}
