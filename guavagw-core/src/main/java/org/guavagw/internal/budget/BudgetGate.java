package org.guavagw.internal.budget;

import io.vavr.control.Either;

/** Keeps the spending of teams within their budgets of the day. Thread-safe. */
public interface BudgetGate extends AutoCloseable {
  /**
   * Sets aside the most that a request can cost. Blocks on the table service only if the entry does
   * not hold enough.
   */
  Either<BudgetFailure, Reservation> reserve(String team, long maxMicros);

  /** Replaces a reservation by what was spent; only the first call for a reservation counts. */
  void settle(Reservation reservation, long actualMicros);

  /** Gives back what is held and not spent. */
  @Override
  void close();
}
