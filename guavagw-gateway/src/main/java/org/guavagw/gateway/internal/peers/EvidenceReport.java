package org.guavagw.gateway.internal.peers;

import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * All that one entry has seen of a rollout so far. Immutable.
 *
 * @param revision tells repeated orders apart
 * @param routes tallies by route
 */
public record EvidenceReport(String service, long revision, Map<String, RouteTally> routes)
    implements PeerMessage {
  public EvidenceReport {
    routes = Map.copyOf(routes);
  }
}
