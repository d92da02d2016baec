package org.guavagw.gateway.internal.peers;

import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * The demand at the sender, or at all entries of its data centre. Immutable.
 *
 * <p>Never contains demand that arrived in a {@link DemandSummary} or from another data centre.
 *
 * @param dataCentre data centre whose entries have the demand; empty if it is that of the sender
 * @param byService demand by service, only for services that have had too little room of late
 */
public record DemandReport(String dataCentre, Map<String, ServiceDemand> byService)
    implements PeerMessage {
  public DemandReport {
    byService = Map.copyOf(byService);
  }
}
