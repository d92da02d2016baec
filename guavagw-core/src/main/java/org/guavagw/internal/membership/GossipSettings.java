package org.guavagw.internal.membership;

import java.time.Duration;

/**
 * Pace of heartbeats. Immutable.
 *
 * @param heartbeatInterval time between two heartbeats on a link
 * @param missedHeartbeats failures in a row after which a peer is suspected
 * @param summaryInterval longest time between two summaries of a data centre
 * @param dataCentreTimeout silence after which the members of a data centre count as suspect
 * @param vmListInterval time between two reads of the platform's list
 * @param removalDelay how long a member must be off the list and not alive before it is dropped
 */
public record GossipSettings(
    Duration heartbeatInterval,
    int missedHeartbeats,
    Duration summaryInterval,
    Duration dataCentreTimeout,
    Duration vmListInterval,
    Duration removalDelay) {
  /** Settings for ordinary use. */
  public static final GossipSettings DEFAULT =
      new GossipSettings(
          Duration.ofSeconds(1),
          3,
          Duration.ofSeconds(4),
          Duration.ofSeconds(15),
          Duration.ofSeconds(5),
          Duration.ofSeconds(30));
}
