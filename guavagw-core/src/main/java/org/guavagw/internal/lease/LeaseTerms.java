package org.guavagw.internal.lease;

import java.time.Duration;

/**
 * How long leases last and how careful their holders are. Immutable.
 *
 * @param duration how long a taker waits from its first sight of the row
 * @param safetyMargin how much earlier than that the holder stops; covers the drift between two
 *     monotonic clocks and the time from a check to its effect
 */
public record LeaseTerms(Duration duration, Duration safetyMargin) {
  private static final Duration DEFAULT_DURATION = Duration.ofSeconds(15);
  private static final Duration DEFAULT_SAFETY_MARGIN = Duration.ofSeconds(2);
  private static final int RENEWALS_PER_DURATION = 3;

  public LeaseTerms {
    if (safetyMargin.compareTo(duration) >= 0) {
      throw new IllegalArgumentException("the safety margin must be shorter than the lease");
    }
  }

  /** The terms that entries use. */
  public static LeaseTerms standard() {
    return new LeaseTerms(DEFAULT_DURATION, DEFAULT_SAFETY_MARGIN);
  }

  /** Time between renewals, so that two may fail before the lease lapses. */
  public Duration renewalInterval() {
    return duration.dividedBy(RENEWALS_PER_DURATION);
  }
}
