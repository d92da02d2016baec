package org.guavagw.internal.rollout;

/** Verdict on a rollout by its evidence. Immutable. */
public sealed interface RolloutVerdict {
  /** The evidence is insufficient for any other verdict. */
  record Continue() implements RolloutVerdict {}

  /**
   * The evidence rules out more harm than the next stage may risk, so that stage may be entered.
   */
  record Advance() implements RolloutVerdict {}

  /**
   * The new version is slower; the rollout must not enter further stages without an operator's
   * decision.
   */
  record Hold(Finding finding) implements RolloutVerdict {}

  /** The new version is worse and must be withdrawn. */
  record Withdraw(Finding finding) implements RolloutVerdict {}
}
