package org.guavagw.internal.membership;

import java.time.Duration;

/**
 * Intervals and limits of heartbeats and membership. Immutable.
 *
 * @param heartbeatInterval mean time between two heartbeats on a link
 * @param missedHeartbeats consecutive failures after which a peer is suspected
 * @param summaryInterval longest time between two summaries of a data centre
 * @param dataCentreTimeout time without a summary after which a data centre's members are suspect
 * @param vmListInterval time between two reads of the platform's list of VMs
 * @param removalDelay how long a member must be off the list and not alive before it is removed
 */
public record GossipSettings(
    Duration heartbeatInterval,
    int missedHeartbeats,
    Duration summaryInterval,
    Duration dataCentreTimeout,
    Duration vmListInterval,
    Duration removalDelay) {
  /** The default settings. */
  public static final GossipSettings DEFAULT =
      new GossipSettings(
          Duration.ofSeconds(1),
          3,
          Duration.ofSeconds(4),
          Duration.ofSeconds(15),
          Duration.ofSeconds(5),
          Duration.ofSeconds(30));
}
