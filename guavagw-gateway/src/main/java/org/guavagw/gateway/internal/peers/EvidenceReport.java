package org.guavagw.gateway.internal.peers;

import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Everything that one entry has observed of a rollout so far. Immutable.
 *
 * @param revision revision of the rollout order; distinguishes repeated orders
 * @param routes tallies of answers by route
 */
public record EvidenceReport(String service, long revision, Map<String, RouteTally> routes)
    implements PeerMessage {
  public EvidenceReport {
    routes = Map.copyOf(routes);
  }
}
