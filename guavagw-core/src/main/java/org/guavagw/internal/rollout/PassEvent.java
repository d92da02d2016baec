package org.guavagw.internal.rollout;

import java.time.Duration;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.lease.LeaseFailure;

/** Something that a pass of the rollout controller did or found. Immutable. */
public sealed interface PassEvent {
  /** Another process controls rollouts, or none can. */
  record NotInControl(LeaseFailure failure) implements PassEvent {}

  /** The hold on rollouts ran out during the pass. */
  record LostControl() implements PassEvent {}

  /** An act that took effect. */
  record Acted(RolloutAct act, long revision) implements PassEvent {}

  /** An act that failed or whose outcome is unknown. */
  record ActFailed(RolloutAct act, ActFailure failure) implements PassEvent {}

  /** A rollout that stays at its stage for want of evidence or of an operator's decision. */
  record Stalled(String rolloutId, int stage, Duration since) implements PassEvent {}

  /** A bad version in service that no other version can replace. */
  record NoSuccessor(VersionRef version, Finding finding) implements PassEvent {}
}
