package org.guavagw.internal.rollout;

import io.vavr.control.Either;

/** Carries out acts of the rollout controller. Implementations are thread-safe and may block. */
public interface RolloutActs {
  /**
   * Carries out an act in one transaction, on condition that the configuration is still at the
   * revision and that no higher fencing number has acted. Gives the new revision.
   */
  Either<ActFailure, Long> apply(RolloutAct act, long expectedRevision, long fencingNumber);
}
