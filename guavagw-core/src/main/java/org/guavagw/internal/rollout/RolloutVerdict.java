package org.guavagw.internal.rollout;

/** What the evidence says about a rollout. Immutable. */
public sealed interface RolloutVerdict {
  /** Not enough evidence for anything else. */
  record Continue() implements RolloutVerdict {}

  /** Enough evidence of no harm to enter the next stage. */
  record Advance() implements RolloutVerdict {}

  /** The new version looks worse, so that no further stage is to be entered. */
  record Hold(Finding finding) implements RolloutVerdict {}

  /** The new version is worse. */
  record Withdraw(Finding finding) implements RolloutVerdict {}
}
