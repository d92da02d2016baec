package org.guavagw.internal.cascade;

/** Why a plan starts with its first step. */
public enum PlanReason {
  /** The cheapest plan that is expected to meet the target. */
  CHEAPEST_MEETING_TARGET,
  /** Cheaper steps are accepted too rarely to be worth their cost and delay. */
  SKIPPED_AHEAD,
  /** No plan is expected to meet the target; the one with the best quality was chosen. */
  TARGET_OUT_OF_REACH,
  /** Ratings are unavailable, so the choice is based on earlier ratings. */
  RATINGS_UNAVAILABLE,
  /** The request is not idempotent, so that it gets one step only. */
  NOT_IDEMPOTENT,
  /** Deadline or budget rule out a better step. */
  LIMITED_BY_DEADLINE_OR_BUDGET,
  /** The step was chosen at random to learn about its quality. */
  EXPLORATION
}
