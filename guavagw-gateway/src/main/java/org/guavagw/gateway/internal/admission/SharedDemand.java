package org.guavagw.gateway.internal.admission;

import java.util.Map;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/** Tells the demand at this entry and takes that of all others into account. */
interface SharedDemand {
  /** Returns the demand at this entry, for services that have had too little room of late. */
  Map<String, ServiceDemand> demand(long nowNanos);

  /** Takes the demand at all other entries into account, by service. */
  void onPeerDemand(Map<String, ServiceDemand> others, long nowNanos);
}
