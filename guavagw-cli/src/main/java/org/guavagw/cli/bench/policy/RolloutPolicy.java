package org.guavagw.cli.bench.policy;

import org.guavagw.internal.rollout.VersionOutcome;

/** Drives the rollout of a run. Implementations are used by one thread. */
interface RolloutPolicy {
  /** Takes in an outcome at one of the entries. */
  void observe(int entry, VersionOutcome outcome);

  /** Looks at what came in and acts. */
  void pass(double nowSeconds);
}
