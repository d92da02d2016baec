package org.guavagw.internal.budget;

import java.time.Duration;

/**
 * How much of a budget an entry holds ahead. Immutable.
 *
 * @param slicesPerMember one slice is at most the rest of the budget, divided by this and by the
 *     number of entries
 * @param minSliceFraction smallest slice as a fraction of the whole budget
 * @param graceFraction what all entries together may overspend while the table service is away, as
 *     a fraction of the whole budget
 * @param storeRetryInterval how long an entry lives on what it has after a failed write
 * @param spentRetryInterval how long an entry believes that a budget is spent
 */
public record BudgetSettings(
    int slicesPerMember,
    double minSliceFraction,
    double graceFraction,
    Duration storeRetryInterval,
    Duration spentRetryInterval) {
  private static final int DEFAULT_SLICES_PER_MEMBER = 4;
  private static final double DEFAULT_MIN_SLICE_FRACTION = 1e-5;
  private static final double DEFAULT_GRACE_FRACTION = 0.05;
  private static final Duration DEFAULT_STORE_RETRY_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_SPENT_RETRY_INTERVAL = Duration.ofSeconds(5);

  /** The settings that entries use. */
  public static BudgetSettings standard() {
    return new BudgetSettings(
        DEFAULT_SLICES_PER_MEMBER,
        DEFAULT_MIN_SLICE_FRACTION,
        DEFAULT_GRACE_FRACTION,
        DEFAULT_STORE_RETRY_INTERVAL,
        DEFAULT_SPENT_RETRY_INTERVAL);
  }

  /** Size of the next slice, at least what is needed now and at most what is left. */
  long sliceMicros(long budgetMicros, long leftMicros, long neededMicros, int members) {
    long share = leftMicros / ((long) slicesPerMember * Math.max(1, members));
    long smallest = (long) (budgetMicros * minSliceFraction);
    long wanted = Math.max(neededMicros, Math.max(share, smallest));
    return Math.max(0, Math.min(leftMicros, wanted));
  }

  /** What one entry may spend without a slice. */
  long graceMicros(long budgetMicros, int members) {
    return (long) (budgetMicros * graceFraction / Math.max(1, members));
  }
}
