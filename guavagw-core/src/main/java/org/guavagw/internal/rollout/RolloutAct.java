package org.guavagw.internal.rollout;

import java.util.Optional;
import org.guavagw.config.VersionRef;

/** A change of the configuration that a rollout controller asks for. Immutable. */
public sealed interface RolloutAct {
  /** Enter a stage; at the last stage the new version serves everyone. */
  record EnterStage(String rolloutId, int stage) implements RolloutAct {}

  /** Stay at the present stage until an operator decides. */
  record Hold(String rolloutId, Finding finding) implements RolloutAct {}

  /** End the rollout and withdraw its new version; without finding if it is withdrawn already. */
  record Abort(String rolloutId, Optional<Finding> finding) implements RolloutAct {}

  /** End the rollout because every session is on the new version. */
  record Finish(String rolloutId) implements RolloutAct {}

  /** Withdraw a version in service and put another in its place. */
  record Withdraw(VersionRef version, VersionRef successor, Finding finding)
      implements RolloutAct {}
}
