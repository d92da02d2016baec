package org.guavagw.internal.budget;

import io.vavr.control.Either;

/** Limits the spending of teams to their daily budgets. Thread-safe. */
public interface BudgetLimiter extends AutoCloseable {
  /**
   * Reserves the maximum cost of a request. Blocks on the table service only if the entry does not
   * hold enough of the budget.
   */
  Either<BudgetFailure, Reservation> reserve(String team, long maxMicros);

  /**
   * Replaces a reservation by the actual cost. Only the first call for a reservation has an effect.
   */
  void settle(Reservation reservation, long actualMicros);

  /** Returns the unspent parts of all budgets to the table service. */
  @Override
  void close();
}
