package org.guavagw.internal.rollout;

import io.vavr.control.Either;

/**
 * Carries out the actions of the rollout controller. Implementations are thread-safe and may block.
 */
public interface RolloutActionExecutor {
  /**
   * Carries out an action in one transaction, provided that the configuration is still at the
   * expected revision and no controller with a higher fencing number has acted. Returns the new
   * revision.
   */
  Either<RolloutActionFailure, Long> apply(
      RolloutAction action, long expectedRevision, long fencingNumber);
}
