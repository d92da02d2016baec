package org.guavagw.internal.rollout;

import java.time.Duration;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.lease.LeaseFailure;

/** Result or finding of one pass of the rollout controller. Immutable; its text form is logged. */
public sealed interface RolloutControllerEvent {
  /** The lease on rollouts could not be acquired. */
  record NotInControl(LeaseFailure failure) implements RolloutControllerEvent {}

  /** The lease on rollouts expired during the pass. */
  record LostControl() implements RolloutControllerEvent {}

  /** A rollout action was applied. */
  record Acted(RolloutAction act, long revision) implements RolloutControllerEvent {}

  /** A rollout action failed or its outcome is unknown. */
  record ActFailed(RolloutAction act, RolloutActionFailure failure)
      implements RolloutControllerEvent {}

  /**
   * A rollout has stayed at its stage too long, because it lacks evidence or is held for an
   * operator's decision.
   */
  record Stalled(String rolloutId, int stage, Duration since) implements RolloutControllerEvent {}

  /** A serving version has become worse, and no other version can replace it. */
  record NoSuccessor(VersionRef version, Finding finding) implements RolloutControllerEvent {}
}
