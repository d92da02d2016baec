package org.guavagw.cli.bench.policy;

import org.guavagw.internal.rollout.VersionOutcome;

/** Controls the rollout in a simulation. Implementations are used by one thread. */
interface RolloutPolicy {
  /** Records an outcome that one of the entries observed. */
  void observe(int entry, VersionOutcome outcome);

  /** Evaluates the recorded outcomes and applies rollout actions if necessary. */
  void evaluate(double nowSeconds);
}
