package org.guavagw.internal.budget;

import java.time.Duration;

/**
 * Sizes of the slices of a budget that entries take in advance, and related limits. Immutable.
 *
 * @param slicesPerMember divisor of the slice size: a slice is the remaining budget divided by this
 *     and by the number of entries, unless more is needed
 * @param minSliceFraction minimum slice size as a fraction of the whole budget
 * @param overdraftFraction amount that all entries together may overspend while the table service
 *     is unavailable, as a fraction of the whole budget
 * @param storeRetryInterval time after a failed write during which an entry takes no slices
 * @param spentRetryInterval time for which an entry assumes that a budget stays spent
 */
public record BudgetSettings(
    int slicesPerMember,
    double minSliceFraction,
    double overdraftFraction,
    Duration storeRetryInterval,
    Duration spentRetryInterval) {
  private static final int DEFAULT_SLICES_PER_MEMBER = 4;
  private static final double DEFAULT_MIN_SLICE_FRACTION = 1e-5;
  private static final double DEFAULT_OVERDRAFT_FRACTION = 0.05;
  private static final Duration DEFAULT_STORE_RETRY_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_SPENT_RETRY_INTERVAL = Duration.ofSeconds(5);

  /** Returns the settings that entries use. */
  public static BudgetSettings standard() {
    return new BudgetSettings(
        DEFAULT_SLICES_PER_MEMBER,
        DEFAULT_MIN_SLICE_FRACTION,
        DEFAULT_OVERDRAFT_FRACTION,
        DEFAULT_STORE_RETRY_INTERVAL,
        DEFAULT_SPENT_RETRY_INTERVAL);
  }

  /**
   * Returns the size of the next slice: at least what is needed now, at most the remaining budget.
   */
  long sliceMicros(long budgetMicros, long remainingMicros, long neededMicros, int memberCount) {
    long share = remainingMicros / ((long) slicesPerMember * Math.max(1, memberCount));
    long minimum = (long) (budgetMicros * minSliceFraction);
    long wanted = Math.max(neededMicros, Math.max(share, minimum));
    return Math.max(0, Math.min(remainingMicros, wanted));
  }

  /** Returns the amount that one entry may spend beyond its slices. */
  long overdraftMicros(long budgetMicros, int memberCount) {
    return (long) (budgetMicros * overdraftFraction / Math.max(1, memberCount));
  }
}
