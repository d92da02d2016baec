package org.guavagw.gateway.internal.peers;

import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * The demand at all entries except the receiver, sent by the hub of its data centre. Immutable.
 *
 * <p>The receiver uses it in its own decisions and never passes it on.
 */
public record DemandSummary(Map<String, ServiceDemand> byService) implements PeerMessage {
  public DemandSummary {
    byService = Map.copyOf(byService);
  }
}
