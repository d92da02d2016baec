package org.guavagw.internal.cascade;

/** Why a plan starts where it starts. */
public enum PlanReason {
  /** The cheapest plan that is expected to meet the target. */
  CHEAPEST_MEETING_TARGET,
  /** Cheaper steps pass too seldom to be worth their cost and delay. */
  SKIPPED_AHEAD,
  /** No plan is expected to meet the target, so the best one was taken. */
  TARGET_OUT_OF_REACH,
  /** Ratings are unavailable, so the choice rests on what was learnt before. */
  RATINGS_UNAVAILABLE,
  /** The call may not be repeated, so that it has one step only. */
  NOT_IDEMPOTENT,
  /** Deadline or budget leave no better step. */
  LIMITED_BY_DEADLINE_OR_BUDGET,
  /** A step was tried to learn about it. */
  EXPLORATION
}
