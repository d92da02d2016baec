package org.guavagw.internal.budget;

/** Why a team's budget could not be reserved. Immutable. */
public sealed interface BudgetFailure {
  /** The team's budget of the day is spent or reserved by other entries. */
  record Spent(String team) implements BudgetFailure {}

  /** The table service is unavailable, and both the entry's slice and its overdraft are spent. */
  record StoreUnavailable(String team, String reason) implements BudgetFailure {}
}
