package org.guavagw.internal.budget;

/** Why a team may not spend. Immutable. */
public sealed interface BudgetFailure {
  /** The team's budget of the day is spent or held by other entries. */
  record Spent(String team) implements BudgetFailure {}

  /** The table service is away, and what was held ahead and the grace are spent. */
  record StoreUnavailable(String team, String reason) implements BudgetFailure {}
}
