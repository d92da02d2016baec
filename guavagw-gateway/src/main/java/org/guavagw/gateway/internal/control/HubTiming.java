package org.guavagw.gateway.internal.control;

import java.time.Duration;

/**
 * How often a hub reads the orders, and when its followers leave it. Immutable.
 *
 * <p>The load that it answers: each read of each hub is a call to the store, whether or not
 * anything changed. They may be as rare as the time limit for applying a configuration allows.
 *
 * @param pollTimeout how long the store may hold a hub's poll for orders
 * @param holdTime how long a hub holds a follower's query while nothing changes
 * @param maxOrdersAge age of a hub's orders at which its followers take it to have lost the store
 * @param linkBytesPerSecond what the link of this entry carries; {@link Long#MAX_VALUE} if unknown
 */
public record HubTiming(
    Duration pollTimeout, Duration holdTime, Duration maxOrdersAge, long linkBytesPerSecond) {
  /**
   * How long the store may hold a poll for orders of an entry that nobody follows: each answer
   * confirms that the orders are current, well within the time limit for revoking keys.
   */
  static final Duration UNFOLLOWED_POLL_TIMEOUT = Duration.ofMillis(1500);

  private static final Duration MIN_POLL_TIMEOUT = Duration.ofMillis(500);
  private static final Duration MAX_POLL_TIMEOUT = Duration.ofMillis(1200);

  /**
   * Part of the time limit that passes until the next poll; the rest is for noticing and reading.
   */
  private static final int POLLS_PER_LIMIT = 4;

  /** Shorter than a poll, so that a hub that is gone is noticed soon. */
  private static final int HOLD_PERCENT = 80;

  /** Part of the link that rows may take for a short time; the rest is for requests. */
  private static final double ROWS_LINK_PART = 0.5;

  private static final double MILLIS_PER_SECOND = 1000;

  /** Time for the two hops between the store, the hub and a follower. */
  private static final Duration DELIVERY_TIME = Duration.ofMillis(700);

  /**
   * Returns the timing that fits a time limit.
   *
   * @param configLimit time within which a configuration must be in force everywhere
   */
  public static HubTiming within(Duration configLimit) {
    long wantedMillis = configLimit.dividedBy(POLLS_PER_LIMIT).toMillis();
    Duration poll =
        Duration.ofMillis(
            Math.min(
                MAX_POLL_TIMEOUT.toMillis(), Math.max(MIN_POLL_TIMEOUT.toMillis(), wantedMillis)));
    return new HubTiming(
        poll,
        poll.multipliedBy(HOLD_PERCENT).dividedBy(100),
        poll.plus(DELIVERY_TIME),
        Long.MAX_VALUE);
  }

  /** Returns the same timing for an entry whose link carries so many bytes a second. */
  public HubTiming onLink(long bytesPerSecond) {
    return new HubTiming(pollTimeout, holdTime, maxOrdersAge, bytesPerSecond);
  }

  /** Returns how many bytes of rows a hub may send in a period. */
  long rowBytesIn(Duration period) {
    return (long) (ROWS_LINK_PART * linkBytesPerSecond * period.toMillis() / MILLIS_PER_SECOND);
  }

  /**
   * Returns the number of entries in a data centre from which a hub that polls for all of them
   * makes fewer calls than they would.
   */
  public int minMembers() {
    return (int) (UNFOLLOWED_POLL_TIMEOUT.toMillis() / pollTimeout.toMillis()) + 1;
  }
}
