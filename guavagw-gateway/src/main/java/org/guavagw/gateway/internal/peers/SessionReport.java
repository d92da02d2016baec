package org.guavagw.gateway.internal.peers;

import java.util.Set;
import org.guavagw.internal.peer.PeerMessage;

/**
 * Sessions that one entry served of late on an old version, and that others might put on the new
 * version of a rollout. Immutable.
 */
public record SessionReport(String version, Set<String> sessions) implements PeerMessage {
  public SessionReport {
    sessions = Set.copyOf(sessions);
  }
}
