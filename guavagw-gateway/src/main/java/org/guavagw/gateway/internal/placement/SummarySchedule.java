package org.guavagw.gateway.internal.placement;

import java.time.Duration;
import org.guavagw.gateway.internal.peers.ServerWork;

/**
 * How often a hub sends its summary to each of its followers, and to how many of them at a time.
 *
 * <p>Handles hubs with many followers and slow links, which the requests of their own callers
 * share: the summaries take a part of the link at most, unless the longest interval is too short
 * for that. Urgent notices travel alone and are not bounded here. Immutable.
 */
final class SummarySchedule {
  /** Part of the link that summaries may take; the rest is for requests and the control state. */
  private static final double LINK_PART = 0.2;

  /** Two hops take less time than a prefill. */
  static final Duration MIN_INTERVAL = Duration.ofMillis(190);

  /** A summary must be followed by the next one before it expires. */
  static final Duration MAX_INTERVAL = PeerWorkReports.MAX_AGE.dividedBy(2);

  private final Duration interval;
  private final int receiversPerTick;

  private SummarySchedule(Duration interval, int receiversPerTick) {
    this.interval = interval;
    this.receiversPerTick = receiversPerTick;
  }

  /**
   * Returns the schedule for a hub.
   *
   * @param linkBytesPerSecond what the link of the hub carries
   */
  static SummarySchedule of(ServerWork summary, int receivers, long linkBytesPerSecond) {
    double bytes = (double) summary.approximateBytes() * receivers;
    double neededMillis = 1000 * bytes / (LINK_PART * linkBytesPerSecond);
    long millis = Math.min(MAX_INTERVAL.toMillis(), Math.round(neededMillis));
    long bounded = Math.max(MIN_INTERVAL.toMillis(), millis);
    long ticks = Math.max(1, bounded / WorkReportSender.PERIOD.toMillis());
    return new SummarySchedule(
        Duration.ofMillis(bounded), (int) Math.ceil((double) receivers / ticks));
  }

  /** Returns the time between two summaries to the same follower. */
  Duration interval() {
    return interval;
  }

  /** Returns how many followers are sent a summary at a time. */
  int receiversPerTick() {
    return receiversPerTick;
  }
}
