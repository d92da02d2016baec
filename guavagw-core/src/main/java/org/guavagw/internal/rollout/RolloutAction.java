package org.guavagw.internal.rollout;

import java.util.Optional;
import org.guavagw.config.VersionRef;

/**
 * Configuration change that the rollout controller decides on. Immutable.
 *
 * <p>The text form is stored as the comment of the configuration change.
 */
public sealed interface RolloutAction {
  /** Enters a stage of a rollout. */
  record EnterStage(String rolloutId, int stage) implements RolloutAction {}

  /** Keeps the rollout at its current stage until an operator decides. */
  record Hold(String rolloutId, Finding finding) implements RolloutAction {}

  /**
   * Ends the rollout and withdraws its new version; without a finding if the version is already
   * withdrawn.
   */
  record Abort(String rolloutId, Optional<Finding> finding) implements RolloutAction {}

  /** Ends the rollout after its last stage; the new version becomes a serving version. */
  record Finish(String rolloutId) implements RolloutAction {}

  /** Withdraws a serving version and replaces it by another. */
  record Withdraw(VersionRef version, VersionRef successor, Finding finding)
      implements RolloutAction {}
}
