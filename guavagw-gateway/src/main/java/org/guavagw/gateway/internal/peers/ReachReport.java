package org.guavagw.gateway.internal.peers;

import java.util.Set;
import org.guavagw.internal.peer.PeerMessage;

/**
 * The services of which an entry, the sender, reaches no backend server. Immutable.
 *
 * <p>Entries of earlier builds neither send nor understand it; they count as reaching all services.
 */
public record ReachReport(Set<String> unreachableServices) implements PeerMessage {
  public ReachReport {
    unreachableServices = Set.copyOf(unreachableServices);
  }
}
