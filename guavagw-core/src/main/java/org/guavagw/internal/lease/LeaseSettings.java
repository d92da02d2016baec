package org.guavagw.internal.lease;

import java.time.Duration;

/**
 * Duration and safety margin of leases. Immutable.
 *
 * @param duration time for which another process must have seen the row unchanged before it may
 *     take the lease
 * @param safetyMargin time before the end of the duration at which the holder stops using the
 *     lease; covers the drift between two monotonic clocks and the time between a check and the
 *     action that depends on it
 */
public record LeaseSettings(Duration duration, Duration safetyMargin) {
  private static final Duration DEFAULT_DURATION = Duration.ofSeconds(15);
  private static final Duration DEFAULT_SAFETY_MARGIN = Duration.ofSeconds(2);
  private static final int RENEWALS_PER_DURATION = 3;

  public LeaseSettings {
    if (safetyMargin.compareTo(duration) >= 0) {
      throw new IllegalArgumentException("the safety margin must be shorter than the lease");
    }
  }

  /** Returns the settings that entries use. */
  public static LeaseSettings standard() {
    return new LeaseSettings(DEFAULT_DURATION, DEFAULT_SAFETY_MARGIN);
  }

  /** Returns the time between renewals. Two of them may fail before the lease expires. */
  public Duration renewalInterval() {
    return duration.dividedBy(RENEWALS_PER_DURATION);
  }
}
